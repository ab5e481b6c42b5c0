#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 need only Python 3.11 and its standard library.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in rig2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
