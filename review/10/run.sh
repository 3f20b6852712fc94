#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
run=$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)
if [ ! -x "build-review-2/case-$number" ] || [ -z "$run" ] || [ ! -d build ]; then
  echo "not run: build as the deploy file says, then review/build-2.sh" >&2
  exit 2
fi
exec "build-review-2/case-$number" "$here/record.txt" "$run"
