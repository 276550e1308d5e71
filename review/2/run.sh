#!/usr/bin/env bash
# Runs case 2; see claim.txt. Needs review/build.sh. TROUBLE=0 leaves out the disruptions.
cd "$(dirname "$0")" || exit 2
exec timeout 115 python3 run.py
