#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on: Python of the standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q rig3 1[1-5]
