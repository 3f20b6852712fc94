#!/bin/bash
# SIGHUP while the configuration file is half written: the router applies it as soon as it is
# complete, without another signal. $1 is the program.
set -u
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
config() {
  printf '{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",' "$1"
  printf '"limits":{"cores":1.0,"memory_mb":128,"sockets":256},"known":{"seq":1,"whole":true,"hosts":[]},'
  printf '"settings":{"Classes":[{"Name":"read","ObjectiveUs":150000,"DeadlineUs":600000}]}}\n'
}
wait_for() {
  for step in $(seq 400); do
    grep -q "$1" "$dir/log" && return 0
    sleep 0.05
  done
  cat "$dir/log"
  return 1
}
config 127.0.0.1:9 >"$dir/config.json"
NODE_CONFIG="$dir/config.json" "$1" 2>"$dir/log" &
pid=$!
wait_for "n0 listens on" || exit 1
config 127.0.0.1:10 | head -c 100 >"$dir/config.json"
kill -HUP $pid
wait_for "reload: old configuration kept" || exit 1
config 127.0.0.1:10 >"$dir/config.json"
wait_for "reloaded: discovery 127.0.0.1:10" || exit 1
kill -TERM $pid
wait $pid
