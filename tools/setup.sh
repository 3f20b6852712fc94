#!/bin/sh
# Installs what the build, the demo and the tests need from Debian's packages, where it is missing.
# Without root it names what is missing and stops with status 1.
set -eu
packages="g++ clang-format cmake make pkg-config libevent-dev nlohmann-json3-dev libcli11-dev libgtest-dev
  libbenchmark-dev libmemcached-dev libnghttp2-dev libboost-dev
  libtomlplusplus-dev libxxhash-dev libprotobuf-dev protobuf-compiler libgrpc++-dev protobuf-compiler-grpc"
# Where Node.js comes from elsewhere, its npm comes with it, and Debian's would not fit it.
command -v npm >/dev/null 2>&1 || packages="$packages nodejs npm"
missing=""
for package in $packages; do
  state=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
if [ "$(id -u)" != 0 ]; then
  echo "Missing packages; as root: apt-get install --no-install-recommends$missing" >&2
  exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update
# shellcheck disable=SC2086
apt-get install -y --no-install-recommends $missing
