#!/bin/sh
# The whole check: installs what is needed, checks the formatting, builds, runs every test plainly
# and under AddressSanitizer and UBSan. KNOWN-RED.txt lists the tests that fail for a known fault.
set -eu
cd "$(dirname "$0")/.."
sh tools/setup.sh
find bench examples include src tests -name '*.[ch]pp' -exec clang-format --dry-run -Werror {} +
for kind in sanitize test; do
  cmake --preset "$kind"
  cmake --build --preset "$kind" -j"$(nproc)"
done
sh tests/known_red.sh KNOWN-RED.txt "$(nproc)" build-sanitize build-test
