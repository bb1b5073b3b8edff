#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 and later start, beside what the build command of deploy/system.toml leaves in target/.
# The tag keeps them out of the packages that CI builds and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags standin3 -o target/standin3 ./review/standin3/platform/standin3
