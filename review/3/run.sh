#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" && exec python3 -B case.py
