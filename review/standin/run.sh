#!/bin/sh
# Runs the program of case N in a temporary folder, with record.txt in the
# case's folder. The program ends all processes that it starts; if it is ended
# itself by the limit of 115 s, they are ended by their ids.
n="$1"
top=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
program="$top/target/review/case$n"
FLEETD="$top/target/bramley-fleetd"
RECORD="$top/review/$n/record.txt"
[ -x "$program" ] && [ -x "$FLEETD" ] || {
	echo "build the system and run review/build.sh first"
	exit 2
}
CASE_TMP=$(mktemp -d) || exit 2
export FLEETD RECORD CASE_TMP
cd "$CASE_TMP" || exit 2
timeout -s TERM 115 "$program"
code=$?
if [ -n "$KEEP_LOGS" ]; then
	echo "logs: $CASE_TMP"
else
	rm -rf "$CASE_TMP"
fi
[ "$code" -le 2 ] && exit "$code"
exit 2
