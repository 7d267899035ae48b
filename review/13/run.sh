#!/usr/bin/env bash
# Exits with 1 if QUOTA was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# stops out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-3/standin3 ] && [ -x target/cardfront ] || exit 2
exec target/review-3/standin3 quota "$folder"
