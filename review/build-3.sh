#!/usr/bin/env bash
# Builds the stand-in of the cases of REPORT-3.md. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o ../../target/review-3/ .
