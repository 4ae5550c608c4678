#!/usr/bin/env bash
# clang-tidy over every C++ file of the product, by the checks of .clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-lint -DCMAKE_BUILD_TYPE=Release -DCRESSLEDGE_TESTS=ON -DCRESSLEDGE_BENCH=ON \
    -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
mapfile -t units < <(git ls-files 'src/*.cpp')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p build-lint --quiet
