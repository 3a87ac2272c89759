#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/ ./review/platform/rigger
