#!/bin/bash
# Five concurrent operators make 100 edits each on nine entries, during store
# outages, lost answers, and kills and restarts of entries. Measures the time
# from the acceptance of an edit until it is in force on all entries.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
site=examples/herrera
store=127.0.9.100:2379
operators=5
edits=100
ctl="$build/bramleyctl --store http://$store --prefix /bramleywing/herrera"

start_store $store
$ctl table import $site/table.json >/dev/null
$ctl worker import $site/workers.json >/dev/null
for i in 1 2 3 4 5 6 7 8 9; do
	write_settings config-$i north 127.0.9.$i $store "$tmp/entry-$i.toml"
	start_entry config-$i "$tmp/entry-$i.toml"
	eval "pid_$i=$entry_pid"
	disown $entry_pid
done
for i in 1 2 3 4 5 6 7 8 9; do wait_entry 127.0.9.$i 15; done

now_us() { date -u +%s%6N; }

# Each operator edits the row of its own service: edits are concurrent but do
# not conflict.
make_edits() { # NUMBER SERVICE
	local k=0 version try
	while [ $k -lt $edits ]; do
		k=$((k + 1))
		for try in 1 2 3 4 5 6 7 8 9 10; do
			version=$($ctl table set "$2" notices +$k 2>/dev/null |
				sed -n 's/accepted as version //p')
			[ -n "$version" ] && break
			sleep 0.3
		done
		echo "${version:-0} $(now_us)" >>"$tmp/accepted-$1"
	done
}

fault() { curl -s -X POST "http://$store/standin/fault?$1" >/dev/null; }
calls() {
	curl -s "http://$store/standin/stats" |
		sed 's/.*"reads":\([0-9]*\),"writes":\([0-9]*\).*/\1 \2/' |
		awk '{print $1 + $2}'
}

inject_faults() {
	sleep 1; fault "lose=3"
	sleep 2; kill -9 $pid_2
	sleep 1; fault "down_ms=1500"
	sleep 2.5; start_entry config-2 "$tmp/entry-2.toml"; echo $entry_pid >>"$tmp/restarted"
	sleep 1; kill -9 $pid_5; fault "lose=3"
	sleep 2; start_entry config-5 "$tmp/entry-5.toml"; echo $entry_pid >>"$tmp/restarted"
	sleep 1; fault "down_ms=1000"
}

before=$(calls)
n=0
background=""
for service in counter inventory returns partnerships reconciliation; do
	n=$((n + 1))
	make_edits $n $service &
	background="$background $!"
done
inject_faults 2>/dev/null &
background="$background $!"
wait $background
sleep 3
after=$(calls)
[ -f "$tmp/restarted" ] && pids="$pids $(cat "$tmp/restarted")"
cat "$tmp"/accepted-* | sort -n >"$tmp/accepted"
final=$($ctl table show | sed -n 's/version //p')

# Versions that came into force, from the entries' logs: entry, time, version.
for i in 1 2 3 4 5 6 7 8 9; do
	sed -n "s/^\(.*\)Z info node: Table version \([0-9]*\) is in force.$/$i \1 \2/p" \
		"$tmp/config-$i.log"
done | while read -r entry timestamp version; do
	echo "$entry $(date -u -d "${timestamp}Z" +%s%6N) $version"
done >"$tmp/in-force"

# For an entry that was not running, the time counts from its start.
for i in 1 2 3 4 5 6 7 8 9; do
	sed -n "s/^\(.*\)Z info node: Entry .* serves callers on .*$/$i \1/p" "$tmp/config-$i.log"
done | while read -r entry timestamp; do
	echo "$entry $(date -u -d "${timestamp}Z" +%s%6N) 0"
done >"$tmp/started"

awk -v operators=$operators -v edits=$edits -v final="$final" \
	-v calls=$((after - before)) '
FILENAME ~ /started$/ { starts++; start_entry[starts] = $1; start_at[starts] = $2; next }
FILENAME ~ /in-force$/ {
	rows++
	entry[rows] = $1; at[rows] = $2; version[rows] = $3
	if ($1 in last && $3 < last[$1]) reverted++
	last[$1] = $3
	next
}
$1 > 0 {
	accepted++
	worst = 0; missing = 0
	for (e = 1; e <= 9; e++) {
		best = -1
		for (r = 1; r <= rows; r++)
			if (entry[r] == e && version[r] >= $1 && (best < 0 || at[r] < best))
				best = at[r]
		from = $2
		for (r = 1; r <= starts; r++)
			if (start_entry[r] == e && start_at[r] > from && start_at[r] < best)
				from = start_at[r]
		if (best < 0) missing++
		else if (best - from > worst) worst = best - from
	}
	missed += missing
	ms[accepted] = worst / 1000
}
END {
	n = accepted
	for (i = 2; i <= n; i++) {
		v = ms[i]
		for (j = i - 1; j > 0 && ms[j] > v; j--) ms[j + 1] = ms[j]
		ms[j + 1] = v
	}
	printf "accepted=%d final_version=%d not_in_force=%d inforce_p50_ms=%.0f inforce_p90_ms=%.0f inforce_max_ms=%.0f\n", \
		n, final, missed, ms[int(n * 0.5)], ms[int(n * 0.9)], ms[n]
	printf "inforce_p99_ms=%.0f reverted=%d lost_edits=%d store_calls_per_edit=%.1f\n", \
		ms[int(n * 0.99)], reverted, n + 1 - final, calls / n
}' "$tmp/started" "$tmp/in-force" "$tmp/accepted"
