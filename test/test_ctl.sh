#!/bin/bash
# Checks exit codes and effects of bramleyctl with the store stand-in: invalid
# input, conflicts, concurrent edits, lost answers and outages of the store.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
start_store_anywhere
ctl="$build/bramleyctl --store http://$store --prefix /ctl"
site=examples/prairie
bad=0

expect() { # NAME CODE COMMAND...: checks the exit code, keeps the output
	local name=$1 code=$2
	shift 2
	"$@" >"$tmp/out" 2>&1
	local got=$?
	[ $got = "$code" ] && return
	echo "$name: exit code $got, not $code"
	cat "$tmp/out"
	bad=1
}

output_has() { # NAME REGEX: checks the output of the last command
	grep -q -- "$2" "$tmp/out" && return
	echo "$1: no \"$2\" in the output"
	cat "$tmp/out"
	bad=1
}

fault() { curl -s -X POST "http://$store/standin/fault?$1" >/dev/null; }

expect "no table yet" 6 $ctl table show
expect "edit without a table" 2 $ctl table set heats office 5
expect "import" 0 $ctl table import $site/table.json
output_has "import" "version 1"
printf 'service,heats,nowhere\nheats,x,1\n' >"$tmp/bad.csv"
expect "CSV with mistakes" 2 $ctl table import "$tmp/bad.csv"
output_has "CSV with mistakes" ":2:2: bad value"
output_has "CSV with mistakes" ":1:3: unknown name"
expect "nothing changed" 0 $ctl table show
output_has "nothing changed" "version 1"
$ctl table export >"$tmp/cells.csv"
expect "CSV round trip" 0 $ctl table import "$tmp/cells.csv"
expect "unknown service" 2 $ctl table set nobody office 5
expect "bad cell" 2 $ctl table set heats office 5/x
expect "edit" 0 $ctl table set heats office +70
expect "cell as it was seen" 0 $ctl table set heats office +80 +70
expect "cell changed by another" 3 $ctl table set heats office +90 +70
output_has "cell changed by another" 'heats, office is now "+80"'
expect "show" 0 $ctl table show
output_has "show" "version 4"

expect "diff" 0 $ctl table diff $site/table.json
output_has "diff" 'heats office: "+80" -> "+50"'

# The answer to a write is lost: bramleyctl must find the edit in the stored
# table instead of making it a second time.
fault "lose=1"
expect "lost answer" 0 $ctl table set heats office +91
output_has "lost answer" "version 5"
expect "made once" 0 $ctl table history
[ "$(grep -c '+91' "$tmp/out")" = 1 ] || { echo "edit made twice"; bad=1; }

# Ten concurrent edits of different cells must all take effect.
for weight in 1 2 3 4 5 6 7 8 9 10; do
	pool=$(echo "heats scoring entries fees office" | cut -d' ' -f$(((weight - 1) / 2 + 1)))
	service=$([ $((weight % 2)) = 0 ] && echo scoring || echo entries)
	$ctl table set $service $pool $((weight + 200)) >/dev/null 2>&1 &
	edit_pids="${edit_pids:-} $!"
done
wait $edit_pids
expect "racing edits" 0 $ctl table show
output_has "racing edits" "version 15"
for weight in 201 202 203 204 205 206 207 208 209 210; do
	output_has "racing edits" "\b$weight\b"
done

expect "workers" 0 $ctl worker import $site/workers.json
expect "drain" 0 $ctl worker drain fees-03
expect "drain again" 0 $ctl worker drain fees-03
expect "list" 0 $ctl worker list
output_has "list" "fees-03.*leaving"
fault "lose=1"
expect "lost answer of a drain" 0 $ctl worker undrain fees-03
expect "no such worker" 6 $ctl worker drain nobody
fault "down_ms=60000"
expect "store down" 4 $ctl table show
[ $bad = 0 ] && echo "all commands as expected"
exit $bad
