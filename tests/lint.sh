#!/usr/bin/env bash
# Formatters and script linters over every file, the files of the decision module, and the order of modules.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t cpp < <(git ls-files '*.cpp' '*.hpp')
mapfile -t shell < <(git ls-files '*.sh' .ci/run)
mapfile -t python < <(git ls-files '*.py')
clang-format --dry-run -Werror "${cpp[@]}"
shellcheck "${shell[@]}"
black --quiet --check "${python[@]}"
flake8 "${python[@]}"
python3 tests/module_order.py

# The files that deploy/balancer.toml names as the decision module: all of them, and the length of their lines.
mapfile -t policy < <(grep -E '^policy = ' deploy/balancer.toml | grep -oE '"[^"]+"' | tr -d '"')
for file in src/policy/*.cpp src/policy/*.hpp; do
    case " ${policy[*]} " in
    *" $file "*) ;;
    *) [ "$file" = src/policy/admission_controller.hpp ] || { echo "$file is not named in deploy/balancer.toml"; exit 1; } ;;
    esac
done
if awk 'length($0) > 110 { print FILENAME ": line " FNR " is too long"; bad = 1 } END { exit !bad }' "${policy[@]}"; then
    exit 1
fi
