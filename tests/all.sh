#!/bin/sh
# The whole check: build, every test, then the same again under AddressSanitizer and UBSan.
set -eu
cd "$(dirname "$0")/.."
for kind in test sanitize; do
  sanitize=OFF
  [ "$kind" = sanitize ] && sanitize=ON
  cmake -S . -B "build-$kind" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DROBINSEAM_TESTS=ON \
    -DROBINSEAM_SANITIZE=$sanitize
  cmake --build "build-$kind" -j4
done
ctest --test-dir build-sanitize --output-on-failure -j2
ctest --test-dir build-test --output-on-failure -j2
