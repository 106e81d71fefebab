#!/bin/bash
# Builds the stand-in that the scripts of review/ start, into review/build.
set -e
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -o build/review-standin standin/Standin.cpp -pthread
