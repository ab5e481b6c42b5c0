#!/usr/bin/env bash
# Compiles the stand-ins of the scripts, which need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py */case.py
