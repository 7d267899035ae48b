#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruptions.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin two-givers review/2
