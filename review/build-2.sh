#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../bin/standin2 .
