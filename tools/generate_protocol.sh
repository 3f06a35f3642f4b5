#!/usr/bin/env bash
# Regenerate src/merlinstand/protocol/generated from the IDL (needs Debian's thrift-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
idl=src/merlinstand/protocol/idl
for file in "$idl"/*.thrift; do
    thrift --gen py:slots,enum -out src "$file"
done
# The generator makes each folder above a package; `src` is none.
rm -f src/__init__.py
