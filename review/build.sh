#!/bin/bash
# Builds the stand-ins that the scripts of review/ start, into review/build.
set -e
cd "$(dirname "$0")"
mkdir -p build
for program in Standin Streams; do
  name=review-$(echo $program | tr A-Z a-z)
  g++ -std=c++20 -O1 -Wall -Wextra -o build/$name standin/$program.cpp -pthread
done
