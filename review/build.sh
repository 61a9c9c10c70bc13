#!/usr/bin/env bash
# Builds the program with the stand-ins of all scripted cases. It uses the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/reviewcase .
