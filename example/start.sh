#!/usr/bin/env bash
# Installs what is missing, builds the program, and starts it with a toy server behind: see README.md beside this file.
# Ends with Ctrl-C. Use: example/start.sh
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh build
cmake -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j4
python3 example/toy_server.py &
toy_server=$!
trap 'kill "$toy_server"' EXIT
build/cressledge serve --operator example/scgi.yaml
