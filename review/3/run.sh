#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/standin planned "$here/record.txt"
