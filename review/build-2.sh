#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOWORK=off GOFLAGS=-buildvcs=false go build -o target/review-2/standin review/standin-2/*.go
