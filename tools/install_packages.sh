#!/usr/bin/env bash
# Installs missing Debian packages. With the argument "build" only those needed to build the program, otherwise also
# those needed by the tests and linters.
set -euo pipefail
missing=()
need_command() { command -v "$1" >/dev/null || missing+=("$2"); }  # COMMAND PACKAGE
need_file() { [ -e "$1" ] || missing+=("$2"); }                    # FILE PACKAGE
need_command g++ g++
need_command make make
need_command cmake cmake
need_command python3 python3
need_file /usr/include/rapidjson/document.h rapidjson-dev
need_file /usr/include/uv.h libuv1-dev
need_file /usr/include/http_parser.h libhttp-parser-dev
need_file /usr/include/spdlog/spdlog.h libspdlog-dev
need_file /usr/include/nlohmann/json.hpp nlohmann-json3-dev
need_file /usr/include/cxxopts.hpp libcxxopts-dev
need_file /usr/include/yaml-cpp/yaml.h libyaml-cpp-dev
need_file /usr/include/csv.h libcsv-dev
need_file /usr/include/boost/asio.hpp libboost-dev
need_file /usr/include/xxhash.h libxxhash-dev
need_file /usr/include/zstd.h libzstd-dev
need_file /usr/include/pcg_random.hpp libpcg-cpp-dev
if [ "${1:-}" != build ]; then
    need_file /usr/include/gtest/gtest.h libgtest-dev
    need_file /usr/include/benchmark/benchmark.h libbenchmark-dev
    need_file /usr/include/catch2/catch.hpp catch2
    need_command clang-format clang-format
    need_command clang-tidy clang-tidy
    need_command shellcheck shellcheck
    need_command black black
    need_command flake8 flake8
fi
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
$sudo apt-get install -y -qq "${missing[@]}"
