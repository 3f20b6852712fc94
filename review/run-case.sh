#!/bin/sh
# Runs one case: sh run-case.sh NUMBER. Each case's run.sh calls it.
number=$1
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
[ -x "$review/build/case$number" ] || { echo "run review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -s KILL 115 "$review/build/case$number" "$root" "$folder" "$review/$number/record.txt"
status=$?
rm -rf "$folder"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
