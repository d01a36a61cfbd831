#!/bin/bash
# Runs one site on this machine: the stand-in for the store, the site's workers
# and three entries. Sends traffic during faults and prints for each guarantee
# whether it held.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
site=examples/herrera
entries="127.0.1.1 127.0.1.2 127.0.1.3"
store=127.0.1.100:2379
control=127.0.1.101:9001
logs=$(mktemp -d)
pids=""
broken=0

cleanup() {
	for pid in $pids; do kill "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$logs"
}
trap cleanup EXIT

field() { # NAME FILE: prints the last value of NAME= in FILE
	sed -n "s/.*\b$1=\([0-9.]*\).*/\1/p" "$2" | tail -n 1
}

check() { # NAME VALUE OPERATOR TARGET: prints a row; sets broken if it fails
	local verdict=held
	awk "BEGIN{exit !($2 $3 $4)}" || { verdict=BROKEN; broken=1; }
	printf '%-46s %10s   %-12s %s\n' "$1" "$2" "$3 $4" "$verdict"
}

now_ms() { date +%s%3N; }

ctl() { "$build/bramleyctl" -s $site/entry-north.toml "$@"; }

start_entry() { # ZONE
	"$build/bramleywingd" -s "$site/entry-$1.toml" 2>>"$logs/$1.log" &
	eval "pid_$1=$!"
	pids="$pids $!"
}

wait_ready() { # SECONDS
	local end=$((SECONDS + $1)) ip
	for ip in $entries; do
		until curl -sf "http://$ip:9090/ready" >/dev/null &&
			curl -s "http://$ip:9090/status" | grep -q '"view_active": true'; do
			[ $SECONDS -lt $end ] || { echo "no entry at $ip"; exit 1; }
			sleep 0.1
		done
	done
}

"$build/bramley-standin" store -l $store &
pids="$pids $!"
"$build/bramley-standin" backend -l $control --first-ip 127.0.10.1 -n 49 &
pids="$pids $!"
sleep 0.3
ctl table import $site/table.json >/dev/null || exit 1
ctl worker import $site/workers.json >/dev/null || exit 1
for zone in north centre south; do start_entry $zone; done
wait_ready 10
sleep 2
echo "Three entries serve 49 workers; traffic surges on one service after another for 24 s."

targets=""
for ip in $entries; do targets="$targets -t $ip:8080"; done
"$build/bramley-load" $targets -o --surges --surge-ms 2000 -d 24000 -c 4000 \
	-S '/counter/?ms=50,750,urgent,3' -S '/inventory/?ms=50,750,urgent,3' \
	-S '/returns/?ms=50,1000,urgent,3' \
	-S '/partnerships/?ms=50,1000,urgent,3' \
	-S '/notices/?ms=50,600,deferrable,20' >"$logs/load" 2>"$logs/load.err" &
load_pid=$!
"$build/bramley-load" $targets -o -d 24000 -c 400 --copies 4 --seed 2 \
	-S '/counter/?ms=20,100,urgent,3' >"$logs/once" 2>"$logs/once.err" &
once_pid=$!

sleep 3
edited_ms=$(now_ms)
version=$(ctl table set counter notices +80 | sed 's/[^0-9]*//')
ctl $(printf -- '-e %s:9090 ' $entries) table wait "$version" >/dev/null
in_force_ms=$(($(now_ms) - edited_ms))
echo "A cell was edited; it was in force on every entry after $in_force_ms ms."

ctl worker drain partnerships-12 >/dev/null
sleep 3
drained_requests() {
	curl -s http://$control/standin/workers |
		sed 's/.*"127.0.10.41:9000","requests":\([0-9]*\).*/\1/'
}
drained=$(drained_requests)
echo "A worker was drained; 3 s later its requests are counted."

curl -s -X POST "http://$store/standin/fault?down_ms=6000" >/dev/null
echo "The store is down for 6 s."
sleep 7

kill -9 $pid_south
wait $pid_south 2>/dev/null
killed=$(now_ms)
echo "The entry of the zone south was killed."
sleep 5
start_entry south
echo "It was started again."
sleep 3
kill -TERM $pid_centre
echo "The entry of the zone centre was asked to stop."
wait $load_pid
wait $once_pid
after=$(drained_requests)
curl -s http://$control/standin/stats >"$logs/stats"
curl -s http://127.0.1.1:9090/status >"$logs/status"
runs=$("$build/bramley-load" $targets -n 1 -c 1 --copies 1 \
	-S '/counter/?ms=1,1,urgent,3' --control $control | tail -n 1)
table_after=$(sed -n 's/.*"table_version": \([0-9]*\).*/\1/p' "$logs/status")
urgent=$(field urgent_sent "$logs/load")
in_time=$(field urgent_in_time "$logs/load")
share=$(awk "BEGIN{printf \"%.2f\", 100*$in_time/$urgent}")
deferrable=$(field deferrable_sent "$logs/load")
deferrable_ok=$(field deferrable_in_time "$logs/load")
deferrable_share=$(awk "BEGIN{printf \"%.2f\", 100*$deferrable_ok/$deferrable}")
once_sent=$(field sent "$logs/once")
echo
printf '%-46s %10s   %-12s\n' "promise" "measured" "target"
check "answers to another request, or cut" "$(field wrong "$logs/load")" "==" 0
check "keyed requests that ran twice" "$(echo "$runs" | sed 's/.*ran_twice=\([0-9]*\).*/\1/')" "==" 0
check "keyed answers to another request" "$(field wrong "$logs/once")" "==" 0
check "urgent requests in time, %" "$share" ">=" 99
check "deferrable requests in time, %" "$deferrable_share" ">=" 99
check "requests beyond a worker's 8 slots" "$(sed 's/.*"slot_breaches":\([0-9]*\).*/\1/' "$logs/stats")" "==" 0
check "most connections at one worker" "$(sed 's/.*"connections_max":\([0-9]*\).*/\1/' "$logs/stats")" "<=" 64
check "requests at a drained worker after 3 s" $((after - drained)) "==" 0
check "edit in force everywhere, ms" "$in_force_ms" "<=" 5000
check "table version after outage and restart" "$table_after" ">=" "$version"
echo
cat "$logs/load" "$logs/once"
[ -s "$logs/load.err" ] && cat "$logs/load.err"
[ -s "$logs/once.err" ] && cat "$logs/once.err"
[ $broken = 0 ] && echo "All promises held." || echo "A promise was broken."
exit $broken
