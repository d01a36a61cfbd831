#!/bin/bash
# Builds the scheduler with each fault of test/world-broken.txt and checks that
# the simulation finds the fault.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
seeds=${1:-400}
dir=$build/test/broken
mkdir -p "$dir"
missed=0
flags=$(pkg-config --cflags glib-2.0)
libs=$(pkg-config --libs glib-2.0 jansson libprotobuf-c)

# The variant's object comes before the library, so the linker uses it instead of
# the library's object of the same file.
variant() { # LINE
	local name seed file mode=plain
	read -r name seed file _ <<<"$1"
	scripts/break.sh "$1" "$dir/$name.c" || return 1
	gcc -std=gnu11 -O2 -w -D_GNU_SOURCE -Isrc $flags -c "$dir/$name.c" -o "$dir/$name.o" &&
		gcc -o "$dir/$name" "$build/test/play_world.o" "$build"/test/world*.o \
			"$build/test/stored_state.o" \
			"$dir/$name.o" "$build/libbramleywing.a" $libs -lm ||
		return 1
	case $name in
	gang-*) mode=plain-gangs ;;
	tenants-gang-*) mode=tenants-plain-gangs ;;
	tenants-owners-*) mode=tenants-owners ;;
	tenants-late-*) mode=tenants-late-calls ;;
	tenants-*) mode=tenants-plain ;;
	closing-*) mode=closing ;;
	away-*) mode=away ;;
	unlisted-*) mode=unlisted ;;
	owners-*) mode=owners ;;
	esac
	"$dir/$name" "$seed" "$seeds" 1 $mode >"$dir/$name.txt" 2>&1
	local status=$? found
	found=$(grep -a '^seed [0-9]*: violations=' "$dir/$name.txt")
	# A crash names no rule that would find the fault next time.
	if [ $status != 1 ] || [ -z "$found" ]; then
		echo "$name: no rule caught it, exit code $status"
		return 1
	fi
	echo "$name: $found"
}

while read -r line; do
	case $line in "" | \#*) continue ;; esac
	variant "$line" || missed=$((missed + 1))
done <test/world-broken.txt
[ $missed = 0 ]
