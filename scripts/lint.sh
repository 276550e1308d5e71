#!/usr/bin/env bash
# Runs clang-tidy on every source file, with one process per core.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files 'src/**/*.cpp' 'testsuite/**/*.cpp' 'platform/*.cpp' | grep -v -e 'pb\.' -e 'fuzz_main\.cpp' \
    | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2)
echo "clang-tidy: clean"
