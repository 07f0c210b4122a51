#!/bin/sh
# Exits with 1 if DRAIN was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/hbentry ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2 -case moved -record review/7/record.txt
