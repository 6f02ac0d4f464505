#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case didn't run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins exec python3 case.py
