#!/usr/bin/env bash
# Runs the case and writes record.txt. It exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy
# file and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/hickorydock ] && [ -x target/review-standin ] || exit 2
timeout -k 5 110 target/review-standin late-copy "$here/record.txt" &
case=$!
trap 'kill -TERM "$case" 2>/dev/null; wait "$case"; exit 2' TERM INT HUP
wait "$case"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
