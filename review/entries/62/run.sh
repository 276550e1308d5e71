#!/usr/bin/env bash
# Runs the trial of issue 62; see run.py. Needs review/build.sh. TROUBLE=0 leaves out the disruptions.
cd "$(dirname "$0")" || exit 2
exec timeout 115 python3 run.py
