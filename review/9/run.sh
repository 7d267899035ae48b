#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cardfront ] && [ -x review/bin/standin2 ] || exit 2
timeout -k 1 110 review/bin/standin2 popular-request "review/9/record.txt"
status=$?
if [ $status -gt 2 ]; then exit 2; fi
exit $status
