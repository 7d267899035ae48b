#!/usr/bin/env bash
# Builds the stand-ins that the cases start.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -trimpath -o ../bin/standin .
