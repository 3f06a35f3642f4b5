#!/usr/bin/env bash
# Regenerates src/merlinstand/protocol/generated from the IDL; needs Debian's thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
idl=src/merlinstand/protocol/idl
for file in "$idl"/*.thrift; do
    thrift --gen py:slots,enum -out src "$file"
done
# The generator also creates __init__.py in src, which is not a package.
rm -f src/__init__.py
