#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")/../.." && exec timeout --preserve-status -k 4 115 python3 review/3/case.py
