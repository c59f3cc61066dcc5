#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
