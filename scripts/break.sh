#!/bin/sh
# Writes a broken copy of a source file: break.sh VARIANT-LINE OUTPUT
set -eu
file=$(echo "$1" | cut -d" " -f3)
expression=$(echo "$1" | cut -d' ' -f4-)
sed "$expression" "$file" >"$2"
if cmp -s "$file" "$2"; then
	echo "break.sh: the expression changes nothing: $1" >&2
	rm -f "$2"
	exit 1
fi
