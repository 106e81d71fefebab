#!/bin/bash
# Runs every benchmark and checks its bounds.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
status=0
"$BUILD/bin/cache_bench" || status=1
"$BUILD/bin/control_bench" "$BUILD/recovery-bench" || status=1
bash testsuite/bench-control.sh "$BUILD" || status=1
bash testsuite/bench-serving.sh "$BUILD" || status=1
for n in 8 32 64 128; do
  bash testsuite/scale.sh "$BUILD" $n || status=1
done
exit $status
