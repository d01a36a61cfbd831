#!/bin/bash
# Measures the cost of the log to a node at ten times the load of a calm day.
# Alternates runs with the log off, with a reader that does not read, and with
# one that does. Ends with one line: the highest processor share, and medians.
set -eu
cd "$(dirname "$0")/.."
runs=${RUNS:-3}
seconds=${SECONDS_EACH:-4}
bench=build/bench/bench_log
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

median() { # FILE NAME: over the runs in FILE
	sed -n "s/.* $2=\([0-9.]*\).*/\1/p" "$dir/$1" | sort -n |
		awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'
}
max_of() { # NAME: highest value over all runs
	sed -n "s/.* $1=\([0-9.]*\).*/\1/p" "$dir"/* | sort -n | tail -1
}

for _ in $(seq "$runs"); do
	$bench off "$seconds" 2>>"$dir/off" >/dev/null
	# sleep does not read the pipe; it outlasts the bench by a few seconds.
	$bench on "$seconds" 2>>"$dir/stopped" | sleep $((seconds + 9))
	$bench on "$seconds" 2>>"$dir/read" | cat >/dev/null
done
cat "$dir/off" "$dir/stopped" "$dir/read"
echo "log_cpu_pct=$(max_of log_cpu_pct) blocked=$(max_of blocked)" \
	"refused=$(max_of refused) lines_s=$(median read lines_s)" \
	"bytes_s=$(median read bytes_s)" \
	"left_out_s=$(median stopped left_out_s)" \
	"p99_us_off=$(median off p99_us) p99_us_stopped=$(median stopped p99_us)"
