#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build-review-2/, with the compiler that the build of
# the deploy file uses and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for number in 6 7 8 9 10; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/case-$number" \
    "review/$number/case.cpp"
done
