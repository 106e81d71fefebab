#!/bin/sh
# Runs clang-tidy on every .cpp file in src and platform: lint.sh BUILD JOBS.
set -eu
build=$1
jobs=$2
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P "$jobs" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
