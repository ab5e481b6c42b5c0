#!/usr/bin/env bash
# TROUBLE=0 leaves the header out. Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 case.py
