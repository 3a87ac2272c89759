#!/bin/sh
# Runs the case once, after the build of the deploy file and review/build-2.sh. With
# TROUBLE=0 it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x target/stage || exit 2
exec target/stage -case late-delete -root . -record "$folder/record.txt"
