#!/bin/sh
# Builds the stand-ins of the third review's scripts, into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standin-3
