#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/plumbarrowd ] && [ -x target/review-harness ] || { echo "not built: see review/build.sh"; exit 2; }
exec target/review-harness reverted review/5/record.txt
