#!/usr/bin/env bash
# test.sh runs all tests with the race detector. Tests listed in KNOWN-RED.txt (one a
# line: test, cause, issue, separated by commas) are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [[ -s KNOWN-RED.txt ]]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  skip=(-skip "^($(cut -d, -f1 KNOWN-RED.txt | paste -sd'|'))\$")
fi
go test -race -count=1 -timeout 25m "${skip[@]}" ./...
