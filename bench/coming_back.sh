#!/bin/sh
# The times of coming back: each scenario played by each router program in turn, with its claims as
# they came out. A claim that a program breaks is no failure here.
#   sh bench/coming_back.sh build-full/wheeldeal [ROUTER ...]     routers: lean programs; else its own
#   PLAYS=3 SCENARIOS="scenarios/killed-no-list.toml" sh bench/coming_back.sh ...
set -eu
tier=$1
shift
[ $# -gt 0 ] || set -- "$(dirname "$tier")/arrowfork"
here=$(dirname "$0")/..
: "${SCENARIOS:=$(ls "$here"/scenarios/killed-*.toml "$here"/scenarios/kept-discovery-silent.toml)}"
play=0
while [ "$play" -lt "${PLAYS:-1}" ]; do
  play=$((play + 1))
  for scenario in $SCENARIOS; do
    for router in "$@"; do
      printf '%s, play %s, %s\n' "$(basename "$scenario" .toml)" "$play" "$router"
      "$tier" tier "$scenario" --arrowfork "$router" |
        grep -E '^(held|BROKEN|void) .*(first_served|full_service|served|list_calls|twice)' || true
    done
  done
done
