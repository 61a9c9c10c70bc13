#!/usr/bin/env bash
# The store is out, and the daemon beside a worker that has left is killed. TROUBLE=0 leaves both out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/reviewcase ] && [ -x target/sassafrasd ] || { echo "build first: the build of the deploy file, then review/build.sh"; exit 2; }
exec timeout -k 2 115 review/bin/reviewcase unread-departure review/4
