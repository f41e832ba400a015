#!/bin/sh
# Builds the stand-ins and the judge of review/6 to review/10 into target/review-2. The gateways
# are built by the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2/ .
