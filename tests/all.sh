#!/bin/sh
# The whole check: installs what is needed, builds, runs every test plainly and then again under
# AddressSanitizer and UBSan.
set -eu
cd "$(dirname "$0")/.."
sh tools/setup.sh
for kind in test sanitize; do
  cmake --preset "$kind"
  cmake --build --preset "$kind" -j"$(nproc)"
done
ctest --test-dir build-sanitize --output-on-failure -j2
ctest --test-dir build-test --output-on-failure -j2
