#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-standin .
