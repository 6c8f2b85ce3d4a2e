#!/usr/bin/env bash
# A request that crashes workers, and a fleet that is killed meanwhile. Exit status: 1 the rule was broken, 0 it held, 2 not run.
# TROUBLE=0: neither happens. KILLS=0: the fleet is not killed. Needs the build of deploy/system.toml and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/killed-fleet
if [ ! -x "$program" ] || [ ! -x target/release/oriole-gateway ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
timeout -k 5 115 "$program" review/10/record.txt
status=$?
tail -n 2 review/10/record.txt
[ "$status" -le 1 ] && exit "$status"
exit 2
