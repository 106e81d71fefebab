#!/bin/bash
# Builds the stand-ins of review/12 to review/15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in stand-in streams; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand-in-3/$name.cpp \
    -o target/review-3/$name
done
