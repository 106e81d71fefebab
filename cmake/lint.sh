#!/bin/sh
# Runs clang-tidy over every source file of the tree.
set -eu
build=$1
jobs=$2
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P "$jobs" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
