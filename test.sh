#!/usr/bin/env bash
# Runs go vet and all tests, including those that start real processes, except the
# tests that KNOWN-RED.txt lists.
set -euo pipefail
cd "$(dirname "$0")"
modules=(./... ./cmd/cardctl/... ./cmd/cardd/... ./cmd/cardfake/... ./cmd/cardfront/... ./cmd/cardload/...)
skip=()
if [ -f KNOWN-RED.txt ]; then
  # ginkgo matches a regular expression against the name of the suite and of the test.
  names=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/[][\.*^$+?(){}|]/\\&/g' | paste -sd '|')
  if [ -n "$names" ]; then skip=(-ginkgo.skip "^($names)\$"); fi
fi
go vet "${modules[@]}"
go test -count=1 -timeout 20m "${modules[@]}" ${skip[@]+"${skip[@]}"}
