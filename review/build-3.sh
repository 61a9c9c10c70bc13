#!/bin/sh
# Builds the stand-ins of the scripts of review/REPORT-3.md into target/review-3, after the build of the deploy file. Those
# in review/standin-3 use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
GOFLAGS=-buildvcs=false go build -o target/review-3/standin ./mesh/standin/cmd/standin
GOWORK=off GOFLAGS=-buildvcs=false go build -C review/standin-3 -o "$PWD/target/review-3/" ./keyed ./crash
