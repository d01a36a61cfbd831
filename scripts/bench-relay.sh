#!/bin/bash
# Measures requests per second and latency through one entry, and of the
# stand-in alone under the same load in the same run for comparison.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
site=examples/herrera
store=127.0.3.100:2379
control=127.0.3.101:9001

start_store $store
start_backend $control 127.0.10.1 49
write_settings relay-1 north 127.0.3.1 $store "$tmp/entry.toml"
"$build/bramleyctl" -s "$tmp/entry.toml" table import $site/table.json >/dev/null
"$build/bramleyctl" -s "$tmp/entry.toml" worker import $site/workers.json >/dev/null
start_entry relay-1 "$tmp/entry.toml"
wait_entry 127.0.3.1 10
sleep 1.5

servers=""
for i in 1 2 3 4 5 6 7 8 9; do servers="$servers -t 127.0.10.$i:9000"; done
load() { # FILE CONCURRENCY REQUESTS TARGETS...
	local file=$1 concurrency=$2 requests=$3
	shift 3
	"$build/bramley-load" "$@" -c "$concurrency" -n "$requests" \
		-S '/counter/?ms=0,1,urgent,5' >"$file"
}

printf '%-22s %11s %9s %8s %8s %6s\n' run concurrency rps p50_us p99_us wrong
print_row() { # NAME CONCURRENCY FILE
	printf '%-22s %11s %9s %8s %8s %6s\n' "$1" "$2" "$(field rps "$3")" \
		"$(field p50_us "$3")" "$(field p99_us "$3")" "$(field wrong "$3")"
}
for concurrency in 1 8 64; do
	load "$tmp/direct-$concurrency" $concurrency 30000 $servers
	print_row "stand-in alone" $concurrency "$tmp/direct-$concurrency"
	before=$(cpu_ms "$entry_pid")
	load "$tmp/entry-$concurrency" $concurrency 30000 -t 127.0.3.1:8080
	after=$(cpu_ms "$entry_pid")
	print_row "through the entry" $concurrency "$tmp/entry-$concurrency"
	eval "cpu_$concurrency=$(awk "BEGIN{print $after - $before}")"
done
added_us=$(($(field p50_us "$tmp/entry-8") - $(field p50_us "$tmp/direct-8")))
per_core=$(awk "BEGIN{printf \"%.0f\", 30000 / $cpu_64 * 1000}")
wrong=0
for file in "$tmp"/entry-*; do
	[ -n "$(field wrong "$file")" ] || continue
	wrong=$((wrong + $(field wrong "$file") + $(field failed "$file")))
done
echo "added_p50_us=$added_us rps_per_core=$per_core wrong_answers=$wrong"
