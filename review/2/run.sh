#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hbentry ] && [ -x review/standin ] || { echo "build the program and review/build.sh first" >&2; exit 2; }
exec review/standin -case smuggle -record review/2/record.txt "$@"
