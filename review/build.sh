#!/usr/bin/env bash
# Builds what the scripts of the cases start. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/platform"
mkdir -p ../../target/review
go build -o ../../target/review/review .
