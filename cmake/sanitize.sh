#!/bin/sh
# Builds and runs the library tests with ASan and UBSan, and with TSan:
# sanitize.sh JOBS. PRESETS selects the presets.
set -eu
jobs=$1
for preset in ${PRESETS:-asan tsan}; do
  cmake --preset "$preset" -B "build-$preset" >/dev/null
  cmake --build "build-$preset" -j "$jobs"
  ctest --test-dir "build-$preset" --output-on-failure -j 3 -L library
done
