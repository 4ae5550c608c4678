#!/bin/sh
# Tests of the adapter's exit status: 0 at the end of input; non-zero with one message for a malformed batch.
set -u
out=$(printf '{"time":1,"msgs":[]}\n' | "$1") || exit 1
[ "$out" = '{"actions":[]}' ] || { echo "unexpected reply: $out"; exit 1; }
err=$(printf 'nonsense\n' | "$1" 2>&1 >/dev/null) && { echo "malformed line accepted"; exit 1; }
if [ -z "$err" ] || [ "$(printf '%s\n' "$err" | wc -l)" -ne 1 ]; then
    echo "not one message: $err"
    exit 1
fi
