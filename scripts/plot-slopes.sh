#!/bin/sh
# Draws docs/capacity.svg from the output of make bench-slopes.
set -eu
cd "$(dirname "$0")/.."
data=$(mktemp)
trap 'rm -f "$data"' EXIT
"${BUILD:-build}/bench/bench_slopes" | grep -E '^[a-z_]+,[0-9]' >"$data"
{
	echo 'set terminal svg size 1000,900 font "sans,11" background "white"'
	echo 'set output "docs/capacity.svg"'
	echo 'set datafile separator ","'
	echo 'set multiplot layout 4,3'
	echo 'set key off; set yrange [0:*]; set xrange [0:*]; set grid; set tics font ",8"; set format x "%.0s%c"; set format y "%.3s%c"; set xtics autofreq; set ytics autofreq; set xtics rotate by -30'
	for series in $(cut -d, -f1 "$data" | uniq); do
		case $series in
		configure_ms | place_mb | part_bytes | tick_us | wave_step_ms) x=workers ;;
		divide_ms | beat_ms | beat_bytes) x=entries ;;
		loop_ms) x=wake-ups ;;
	job_us) x=log2-workers ;;
	*) x=keys ;;
		esac
		echo "set title '$series' noenhanced; set xlabel '$x'"
		echo "plot '< grep ^$series, $data' using 2:3 with linespoints pt 7"
	done
	echo 'unset multiplot'
} | gnuplot
