#!/usr/bin/env bash
# Lays beside the variants what has to equal the kit's to the letter: the names on the wires and the days that are open.
# Not kept in the repository. Usage: deploy/sites/lay.sh [FOLDER OF THE KIT'S SITES]
set -euo pipefail
cd "$(dirname "$0")"
from=${1:-../../../given/kit/sites}
for file in real.json wire.json unlock.txt; do
    [ -e "$from/$file" ] || { echo "lay.sh: $from/$file is not there" >&2; exit 1; }
    install -m 644 "$from/$file" "$file"
done
