#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it after the build of the
# deploy file; it needs no network once the modules are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/stage ./review/platform/stage
