#!/bin/bash
# Plays days whose tasks crash their workers on each deployment that is given,
# with two fixed seeds and one from the clock:
#	scripts/deadly-days.sh BENCH DEPLOYMENT...
# Exits with 1 if a day broke a rule.
set -u
cd "$(dirname "$0")/.."
bench=$1
shift
broken=0
for deployment in "$@"; do
	for day in alone-deadly pair-deadly-crash; do
		for seed in 70001 70002 "$(date +%s)"; do
			result=$("$bench" run "$deployment" "deploy/days/$day.toml" --vary \
				--seed "$seed" --why "deadly days before a landing" |
				grep -m 1 '^rules broken' || echo "held")
			echo "$(basename "$deployment" .toml) $day $seed: $result"
			[ "$result" = held ] || broken=1
		done
	done
done
exit $broken
