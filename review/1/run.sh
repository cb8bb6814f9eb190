#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../target/ForeignRows.class ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec java -Xmx512m -cp ../target ForeignRows .
