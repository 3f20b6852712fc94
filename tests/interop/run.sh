#!/bin/sh
# Starts a router with the external processor and calls it with an independent gRPC implementation.
# run.sh WHEELDEAL PROTO_FOLDER WORK_FOLDER
set -eu
here=$(cd "$(dirname "$0")" && pwd)
program=$1 protos=$2 work=$3
mkdir -p "$work"
cp "$here/package.json" "$here/package-lock.json" "$here/calls.mjs" "$work/"
(cd "$work" && npm ci --ignore-scripts --no-audit --no-fund --silent)
host() { printf '{"host":"s-%s","dial":"127.0.0.1:%s","site":"a","class":"std","block":0,"health":"active","share":1.0,"born_ms":0}' "$1" "$2"; }
cat > "$work/config.json" <<END
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":512},
 "known":{"seq":1,"whole":true,"hosts":[$(host 1 20001),$(host 2 20002),$(host 3 20003),$(host 4 20004)]},
 "ext_proc":{"listen":"127.0.0.1:0","resets_per_s":5000},
 "settings":{"Az":"a","Balancers":1,
  "Classes":[{"Name":"read","ObjectiveUs":5000000,"DeadlineUs":20000000,"Effect":"repeatable"},
             {"Name":"put","ObjectiveUs":5000000,"DeadlineUs":20000000,"Effect":"by_key","Group":"all","KeyTtlUs":5000000}],
  "Tenants":[{"Name":"acme","Portion":1.0}],"FailureDomains":["a"],"MachineTypes":["std"],
  "Domain":{"Mode":"through","OriginKind":-1},
  "Limits":{"MaxAttempts":4,"MaxRetryAfterUs":1000000,"MayCancel":true,"SecondCopies":false,"StreamsPerConn":16,
            "KeepaliveUs":15000000,"DialTimeoutUs":75000,"MaxOpen":4000},
  "MembershipMode":"subscribe","Report":{"Fields":["load_share"],"How":"inline"},
  "Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.3,"ColdUs":8000000,"DrainGraceUs":500000,
           "OverloadFactor":4.0,"TipAfterUs":1500000},
  "TickUs":2000,"Weights":"nominal"}}
END
"$program" run "$work/config.json" 2> "$work/log" &
router=$!
trap 'kill "$router" 2>/dev/null || true' EXIT
port=""
tries=0
while [ -z "$port" ]; do
  port=$(sed -n 's/.*ext_proc listens on port \([0-9]*\).*/\1/p' "$work/log")
  tries=$((tries + 1))
  if [ "$tries" -gt 400 ] || ! kill -0 "$router"; then
    cat "$work/log" >&2
    exit 1
  fi
  [ -n "$port" ] || sleep 0.05
done
status=0
node "$work/calls.mjs" "$port" "$protos" || status=$?
kill -TERM "$router"
wait "$router" || status=$?
exit "$status"
