#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start, as review/standin. It needs the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o standin ./*.go
