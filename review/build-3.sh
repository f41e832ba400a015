#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later, without a network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
GOFLAGS=-buildvcs=false go build -C "$root/review/standin-3" -o "$root/target/review-3/standin" .
