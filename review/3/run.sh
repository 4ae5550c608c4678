#!/usr/bin/env bash
# Plays the case beside this script. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
export PYTHONDONTWRITEBYTECODE=1
command -v python3 >/dev/null || exit 2
exec python3 "$(dirname "$0")/case.py"
