#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin
