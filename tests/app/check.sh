#!/bin/sh
# `wheeldeal check` accepts a valid configuration, and rejects invalid ones with an error that names
# the setting or file; `wheeldeal run` reports the same error. $1 is the program.
set -eu
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cat >"$dir/good.json" <<'END'
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
 "settings":{"Classes":[{"Name":"read","DeadlineUs":600000},
                        {"Name":"put","DeadlineUs":600000,"Effect":"by_key"}]},
 "binary":{"servers":[{"id":"b-*"}]}}
END
"$1" check "$dir/good.json" | grep -q 'good: n0 .*binary clients on, 1 rules' || exit 1
sed 's/"servers"/"server"/' "$dir/good.json" >"$dir/bad.json"
"$1" check "$dir/bad.json" 2>"$dir/stderr" && exit 1
grep -q 'bad.json: binary.server: no such setting$' "$dir/stderr" || { cat "$dir/stderr"; exit 1; }
echo '{"listen":' >"$dir/cut.json"
"$1" check "$dir/cut.json" 2>/dev/null && exit 1
"$1" check "$dir/none.json" 2>"$dir/stderr" && exit 1
grep -q 'cannot read' "$dir/stderr" || exit 1
"$1" run "$dir/bad.json" 2>"$dir/stderr" && exit 1
grep -q 'binary.server: no such setting$' "$dir/stderr" || exit 1
"$1" check "$(dirname "$0")/../../deploy/wheeldeal.json" | grep -q "2 rules for binary servers$"
"$1" check "$(dirname "$0")/../../deploy/extproc.json" >/dev/null
"$1" --version | grep -q '^wheeldeal [0-9]'
