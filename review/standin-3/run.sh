#!/bin/sh
# Runs the program of case N, which writes record.txt in the case's folder. The
# program ends all processes that it starts, also if the limit of time ends it.
n="$1"
top=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
program="$top/target/review-3/$n"
FLEETD="$top/target/bramley-fleetd"
RECORD="$top/review/$n/record.txt"
if [ ! -x "$program" ] || [ ! -x "$FLEETD" ]; then
	echo "first the build of the deploy file, then review/build-3.sh"
	exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export FLEETD RECORD CASE_TMP
timeout -s TERM 115 "$program"
code=$?
if [ -n "$KEEP_LOGS" ]; then
	echo "logs of the nodes: $CASE_TMP"
else
	rm -rf "$CASE_TMP"
fi
[ "$code" -le 2 ] && exit "$code"
exit 2
