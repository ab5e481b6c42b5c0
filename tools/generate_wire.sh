#!/usr/bin/env bash
# Makes the committed thrift code anew; needs Debian's thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")/../libs/wire"
out=$(mktemp -d)
for idl in idl/*.thrift; do
    thrift --gen py:slots,package_prefix=geraniumweir.wire.gen. \
        -out "$out" "$idl"
done
rm -rf geraniumweir/wire/gen
mv "$out" geraniumweir/wire/gen
touch geraniumweir/wire/gen/__init__.py
chmod 755 geraniumweir/wire/gen
