#!/bin/bash
# Builds the stand-ins of review/11 to review/15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand-in-3/stand-in.cpp \
  -o target/review-3/stand-in
