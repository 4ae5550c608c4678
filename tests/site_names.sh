#!/usr/bin/env bash
# No name of one deployment may stand in the program or its deploy file: they come from the settings. The names are those of
# the deployments whose files are here; the paths are those that the deploy file gives for the program.
set -euo pipefail
cd "$(dirname "$0")/.."
# Those of one word are ordinary words ("burst", "crash"); classes, sites and zones have two.
names=$(grep -hoE '^name = "[^"]+-[^"]+"' deploy/sites/*.toml | cut -d'"' -f2; grep -oE '\{name: [a-z]+-[a-z]+' deploy/scgi.yaml | cut -d' ' -f2)
[ "$(wc -l <<<"$names")" -ge 10 ] || { echo "site_names.sh: too few names were found to be a check"; exit 1; }
mapfile -t paths < <(grep -E '^(policy|node) = ' deploy/balancer.toml | grep -oE '"[^"]+"' | tr -d '"')
[ ${#paths[@]} -ge 10 ] || { echo "site_names.sh: no paths in deploy/balancer.toml"; exit 1; }
bad=0
for name in $names; do
    if grep -rnwF -- "$name" deploy/balancer.toml "${paths[@]}"; then bad=1; fi
done
exit $bad
