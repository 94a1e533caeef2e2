#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/_harness
