#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. The project's own programs are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/_stand2
