#!/bin/sh
# break.sh VARIANT-LINE OUTPUT: writes a copy of a source file with the fault
# that a line of fuzz/broken.txt or test/world-broken.txt describes.
set -eu
file=$(echo "$1" | cut -d" " -f3)
expression=$(echo "$1" | cut -d' ' -f4-)
sed "$expression" "$file" >"$2"
if cmp -s "$file" "$2"; then
	echo "break.sh: the expression changes nothing: $1" >&2
	rm -f "$2"
	exit 1
fi
