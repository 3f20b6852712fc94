#!/bin/bash
# If the process may open fewer descriptors than the configuration asks for, the router uses the lower
# limit and logs it. Idle clients that would use up all descriptors do not lock out a new client.
# $1 is the program.
set -u
dir=$(mktemp -d)
pid=
trap 'kill $pid 2>/dev/null; rm -rf "$dir"' EXIT
cat >"$dir/config.json" <<EOF
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":128,"sockets":256},"known":{"seq":1,"whole":true,"hosts":[]},
 "settings":{"Classes":[{"Name":"read","ObjectiveUs":150000,"DeadlineUs":600000}]}}
EOF
(ulimit -n 100; NODE_CONFIG="$dir/config.json" exec "$1" 2>"$dir/log") &
pid=$!
until grep -q listens "$dir/log"; do
  kill -0 $pid 2>/dev/null || { cat "$dir/log"; exit 1; }
  sleep 0.05
done
grep -q "^arrowfork: limits.sockets: 100 for 256: the process may have no more$" "$dir/log" || {
  cat "$dir/log"; exit 1; }
port=$(sed -n 's/.* listens on 127.0.0.1:\([0-9]*\)$/\1/p' "$dir/log")
for k in $(seq 150); do exec {held}<>"/dev/tcp/127.0.0.1/$port" || exit 1; done
exec 3<>"/dev/tcp/127.0.0.1/$port" || exit 1
printf 'mn\r\n' >&3
read -r -t 20 answer <&3
[ "$answer" = $'MN\r' ] || { echo "answered '$answer'"; exit 1; }
# With its listener and reserved descriptors, the process never had more open than it may.
open=$(ls /proc/$pid/fd | wc -l)
[ "$open" -lt 100 ] || { echo "$open descriptors open"; exit 1; }
echo "as expected"
