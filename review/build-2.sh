#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: Python modules, which only have to be readable by
# the python3 of this machine. The program itself comes from the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stands-2/*.py {6,7,8,9,10}/play.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
print("the stand-ins of the second review can run")
CHECK
