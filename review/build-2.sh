#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/: the rig of this
# review, and the stage of the earlier one.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -o target/ ./review/platform/rigger ./review/platform/stage
