#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 lets the servers bear the part.
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=3 118 python3 case.py
