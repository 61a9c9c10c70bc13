#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/crash ] && [ -x target/sassafrasd ] || { echo "run the builds first" >&2; exit 2; }
exec timeout -k 5 115 target/review-3/crash restarts review/14
