#!/bin/bash
# Sends requests that must not run twice, each up to 4 times through five
# entries, while entries are killed or paused and the store is down or loses
# answers. Compares the answers to callers with what the backend servers ran.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
site=examples/herrera
store=127.0.4.100:2379
control=127.0.4.101:9001
requests=${REQUESTS:-100000}
faults=${FAULTS:-1}

start_store $store
start_backend $control 127.0.10.1 49
targets=""
for i in 1 2 3 4 5; do
	write_settings once-$i north 127.0.4.$i $store "$tmp/entry-$i.toml"
	targets="$targets -t 127.0.4.$i:8080"
done
"$build/bramleyctl" -s "$tmp/entry-1.toml" table import $site/table.json >/dev/null
"$build/bramleyctl" -s "$tmp/entry-1.toml" worker import $site/workers.json >/dev/null
for i in 1 2 3 4 5; do
	start_entry once-$i "$tmp/entry-$i.toml"
	eval "pid_$i=$entry_pid"
done
disown -a
for i in 1 2 3 4 5; do wait_entry 127.0.4.$i 15; done
sleep 1.5

fault() { curl -s -X POST "http://$store/standin/fault?$1" >/dev/null; }

worker_mode() { curl -s -X POST "http://$control/standin/worker?$1" >/dev/null; }

inject_faults() {
	worker_mode 'index=0&mode=drop'; worker_mode 'index=1&mode=hang'
	sleep 2; kill -STOP $pid_2
	sleep 4; kill -CONT $pid_2
	worker_mode 'index=-1&mode=ok'
	sleep 2; fault "lose=20"
	kill -9 $pid_3
	sleep 3; start_entry once-3 "$tmp/entry-3.toml"; echo $entry_pid >"$tmp/pid3"
	sleep 3; fault "down_ms=4000"
	sleep 1; kill -STOP $pid_4
	sleep 1; kill -CONT $pid_4
	sleep 1; kill -9 $pid_5
	sleep 3; start_entry once-5 "$tmp/entry-5.toml"; echo $entry_pid >"$tmp/pid5"
	fault "slow_ms=300"
	sleep 2; fault "slow_ms=0&lose=10"
	kill -STOP $pid_1
	sleep 3; kill -CONT $pid_1
}
if [ "$faults" = 1 ]; then
	inject_faults 2>/dev/null &
	faults_pid=$!
fi
"$build/bramley-load" $targets -c 2500 -n "$requests" --copies 4 --seed 7 \
	-S '/counter/?ms=2,1,urgent,5' -S '/returns/?ms=300,1,urgent,1' \
	--pace "${PACE:-5000}" --control $control >"$tmp/result" 2>"$tmp/err"
if [ "$faults" = 1 ]; then wait $faults_pid 2>/dev/null; fi
for file in "$tmp"/pid3 "$tmp"/pid5; do
	[ -f "$file" ] && pids="$pids $(cat "$file")"
done
cat "$tmp/result"
[ -s "$tmp/err" ] && cat "$tmp/err"
for i in 1 2 3 4 5; do
	curl -s -m 2 http://127.0.4.$i:9090/counters |
		grep -E '"(unknown|refused|answer)_[a-z_]*": [1-9]' |
		tr -d '\n ' | sed "s/^/entry $i: /;s/,\$//"
	echo
done
sent=$(field sent "$tmp/result")
unknown=$(field unknown "$tmp/result")
echo "requests=$(field keys "$tmp/result") sent=$sent ran_twice=$(field ran_twice "$tmp/result")" \
	"false_not_run=$(field false_not_run "$tmp/result")" \
	"not_run=$(field not_run "$tmp/result")" \
	"not_ran=$(field not_ran "$tmp/result") wrong=$(field wrong "$tmp/result")" \
	"unknown_pct=$(awk "BEGIN{printf \"%.2f\", 100*$unknown/$sent}")"
