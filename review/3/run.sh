#!/usr/bin/env bash
# All daemons are killed right after one has confirmed that a worker is gone. TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/reviewcase ] && [ -x target/sassafrasd ] || { echo "build first: the build of the deploy file, then review/build.sh"; exit 2; }
exec timeout -k 2 115 review/bin/reviewcase forgotten-departure review/3
