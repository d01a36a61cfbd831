#!/bin/bash
# Builds bramley-fleetd with each fault of soak/broken.txt and checks that the
# soak finds it within five seeds, by the check that the line names:
# soak-caught.sh [SEEDS [NAME]]
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
seeds=${1:-5}
only=${2:-}
side_by_side=${SOAK_JOBS:-3}
dir=$build/soak/broken
mkdir -p "$dir"
missed=0
flags=$(pkg-config --cflags glib-2.0 jansson libmicrohttpd libcurl libprotobuf-c libxxhash)
libs=$(pkg-config --libs glib-2.0 jansson libmicrohttpd libcurl libprotobuf-c libxxhash)

# The variant's object comes before the library, so the linker uses it instead of
# the library's object of the same file.
build_variant() { # NAME LINE
	scripts/break.sh "$2" "$dir/$1.c" &&
		gcc -std=gnu11 -O2 -w -D_GNU_SOURCE -Isrc -Iplatform \
			-iquote "$(dirname "$(echo "$2" | cut -d' ' -f3)")" $flags \
			-c "$dir/$1.c" -o "$dir/$1.o" &&
		g++ -o "$dir/$1" "$build/cmd/bramley-fleetd.o" "$dir/$1.o" \
			"$build/libbramleywing.a" $libs -lev -lhttp_parser -lm
}

variant() { # LINE
	local title seed name check found status
	local series=()
	read -r title seed _ <<<"$1"
	if [ "$seed" != "${seed#owners:}" ]; then
		series=(--owners)
		seed=${seed#owners:}
	fi
	name=${title%/*}
	check=${title#*/}
	build_variant "$name" "$1" || return 1
	"$build/soak/soak" "${series[@]}" --first="$seed" --seeds="$seeds" \
		--side-by-side="$side_by_side" --node="$dir/$name" \
		--ctl="$build/bramleyctl" --logs="$dir/$name.logs" >"$dir/$name.txt" 2>&1
	status=$?
	found=$(grep -ac "^FAILED $check: " "$dir/$name.txt")
	if [ "$found" = 0 ]; then
		echo "$name: check $check did not catch it, exit code $status"
		return 1
	fi
	echo "$name: $(grep -ao '^FAILED [a-z-]*' "$dir/$name.txt" | sort | uniq -c | tr -s ' \n' ' ')"
	rm -rf "$dir/$name.logs"
}

while read -r line; do
	case $line in "" | \#*) continue ;; esac
	[ -z "$only" ] || [ "$only" = "${line%%/*}" ] || continue
	variant "$line" || missed=$((missed + 1))
done <soak/broken.txt
[ $missed = 0 ]
