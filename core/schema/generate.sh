#!/bin/sh
# Generates the Go types of one schema: generate.sh SCHEMA OUTPUT [TAGS], run in the package's folder.
# The array limit keeps a small frame from allocating a large slice on decode.
set -eu
schema=$1 out=$2 tags=${3:-json,msg}
go-jsonschema -p "$GOPACKAGE" --only-models --tags "$tags" --capitalization ID,URL,TLS -o "$out" "../schema/$schema.json"
case $tags in
*msg*) sed -i "s,^package .*,&\n\n//msgp:limit arrays:4096 maps:4096," "$out" ;;
esac
gofumpt -w "$out"
