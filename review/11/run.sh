#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" && exec python3 -B case.py
