#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o bin/ ./standin
