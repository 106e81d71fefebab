#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/review-2, after
# the build of the deploy file. Needs g++ alone.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2 || exit 1
for source in review/stand-in-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" \
    "$source" || exit 1
done
