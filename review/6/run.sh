#!/bin/sh
# Plays the case beside this file. Exit code: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." && exec python3 review/6/case.py
