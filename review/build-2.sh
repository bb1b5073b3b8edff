#!/usr/bin/env bash
# Builds the stand-in that plays the scripts of the cases 6 to 10, into target/. The programs themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./review/standin2/platform/standin2
