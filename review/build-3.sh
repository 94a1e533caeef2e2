#!/bin/sh
# Builds the stand-ins of the cases of the third review, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-rig-3 ./review/_rig3
