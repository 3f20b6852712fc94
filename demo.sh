#!/bin/sh
# The main job, seen working: discovery, ten cache servers (some speak memcached's binary protocol,
# some its meta commands), two routers and tills of both protocols on loopback, with faults. Ends
# within a minute after the build; exit status 0 only where the rules held. Before it, 20 of 24
# routers are killed at once and come back without a list.
set -eu
cd "$(dirname "$0")"
sh tools/setup.sh
cmake --preset full
cmake --build --preset full -j"$(nproc)"
build-full/wheeldeal tier scenarios/killed-no-list.toml
exec build-full/wheeldeal rig
