#!/usr/bin/env bash
# build.sh builds the stand-ins that the scripts of the cases use. It needs no network once the
# modules of go.mod are on the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/target/standin ./review/platform
