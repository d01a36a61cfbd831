#!/bin/sh
# Plays the standard days of the regular deployments with the users' bench and
# prints each day's line: regress.sh DIRECTORY [JOBS]
# DIRECTORY holds the users' pages of the system, with the site files. The bench
# is the newest in it; docs/OPERATIONS.md tells when this is run.
set -eu
cd "$(dirname "$0")/.."
pages=${1:?usage: regress.sh DIRECTORY [JOBS]}
jobs=${2:-4}
bench=$(ls -d "$pages"/more/bench-*/bin/fleetbench "$pages"/bin/fleetbench 2>/dev/null | head -n 1)
revision=$(git rev-parse --short HEAD)
for group in large grown further-grown further; do
	for site in "$pages/$group"/*.toml; do
		[ -f "$site" ] || continue
		echo "site: $group/$(basename "$site")"
		"$bench" score "$site" --jobs "$jobs" --why "regression plays of $revision" |
			grep -E '^(quiet|trouble|scale|fresh)-|GATE' || true
	done
done
