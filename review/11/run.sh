#!/bin/sh
# Plays the case and writes record.txt. TROUBLE=0 leaves the disruption out.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")" && exec python3 -B case.py
