#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Run it after the build of deploy/system.toml.
# -trimpath keeps the paths of the machine out of the binary.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o review/bin/standin ./review/standin
