#!/bin/bash
# Starts the router as a deployment does, sends it `mn`, stops it with SIGTERM. $1 is the program.
set -u
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
for try in 1 2 3 4 5; do  # the port may already be in use
  port=$((20000 + RANDOM % 12000))
  cat >"$dir/config.json" <<EOF
{"name":"n0","listen":"127.0.0.1:$port","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":128,"sockets":256},"known":{"seq":1,"whole":true,"hosts":[]},
 "settings":{"Classes":[{"Name":"read","ObjectiveUs":150000,"DeadlineUs":600000}]}}
EOF
  NODE_CONFIG="$dir/config.json" "$1" 2>"$dir/log" &
  pid=$!
  for wait in $(seq 200); do
    grep -q listens "$dir/log" && break 2
    kill -0 $pid 2>/dev/null || continue 2
    sleep 0.05
  done
done
exec 3<>"/dev/tcp/127.0.0.1/$port" || exit 1
printf 'mn\r\n' >&3
read -r -t 20 answer <&3
[ "$answer" = $'MN\r' ] || { echo "answered '$answer'"; exit 1; }
# A second router on the same address reports that in one line and fails.
NODE_CONFIG="$dir/config.json" "$1" 2>"$dir/second" && { echo "two routers on one address"; exit 1; }
grep -q "^arrowfork: listen 127.0.0.1:$port: Address already in use$" "$dir/second" || {
  cat "$dir/second"; exit 1; }
kill -TERM $pid
exec 3<&-
wait $pid
status=$?
echo "exit status $status"
exit $status
