#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/oriole-gateway ] || exit 2
[ -x target/review/standins ] || exit 2
exec target/review/standins late-stream review/4/record.txt
