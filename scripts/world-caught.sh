#!/bin/bash
# Builds each broken variant of the scheduler and shows that worlds catch it.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
seeds=${1:-400}
dir=$build/test/broken
mkdir -p "$dir"
missed=0
flags=$(pkg-config --cflags glib-2.0)
libs=$(pkg-config --libs glib-2.0 libprotobuf-c)
objects=$(ls "$build"/src/sched/*.o "$build"/src/job/*.o "$build"/src/wire/record.pb-c.o "$build"/src/base/status.o)
variant() { # LINE
	local name seed file object
	name=$(echo "$1" | cut -d' ' -f1)
	seed=$(echo "$1" | cut -d' ' -f2)
	file=$(echo "$1" | cut -d' ' -f3)
	object=$build/${file%.c}.o
	scripts/break.sh "$1" "$dir/$name.c" || return 1
	gcc -std=gnu11 -O2 -w -D_GNU_SOURCE -Isrc $flags -c "$dir/$name.c" -o "$dir/$name.o" || return 1
	gcc -o "$dir/$name" "$build/test/play_world.o" "$build/test/world.o" "$dir/$name.o" \
		$(echo "$objects" | grep -v "^$object\$") $libs || return 1
	if "$dir/$name" "$seed" "$seeds" 1 >"$dir/$name.txt"; then
		echo "$name: not caught"
		return 1
	fi
	echo "$name: $(tail -n 1 "$dir/$name.txt")"
}
while read -r line; do
	case $line in "" | \#*) continue ;; esac
	variant "$line" || missed=$((missed + 1))
done <test/world-broken.txt
[ $missed = 0 ]
