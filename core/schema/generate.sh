#!/bin/sh
# Generates the Go types of one schema: generate.sh SCHEMA OUTPUT, run in the package's folder.
# The array limit keeps a small frame from allocating a large slice on decode.
set -eu
schema=$1 out=$2
go-jsonschema -p "$GOPACKAGE" --only-models --tags json,msg --capitalization ID -o "$out" "../schema/$schema.json"
sed -i "s,^package .*,&\n\n//msgp:limit arrays:4096 maps:4096," "$out"
gofumpt -w "$out"
