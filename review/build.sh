#!/usr/bin/env bash
# The stand-ins of the cases are Python programs and are not compiled; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stands/*.py [0-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
