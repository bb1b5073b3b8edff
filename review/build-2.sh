#!/usr/bin/env bash
# Builds the stand-in that plays the scripts of the cases 6 to 10. It needs no network: its module has no dependencies.
# The programs themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin2/platform/standin2"
mkdir -p ../../../../target
go build -o ../../../../target/standin2 .
