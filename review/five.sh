#!/usr/bin/env bash
# Runs a scripted case five times with its disruption and once without: review/five.sh N
cd "$(dirname "$0")/.." || exit 2
TROUBLE=0 "review/$1/run.sh"; echo "TROUBLE=0: exit $?"
for i in 1 2 3 4 5; do "review/$1/run.sh"; echo "run $i: exit $?"; done
