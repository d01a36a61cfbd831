#!/bin/sh
# Builds the stand-ins and the test programs of review 2 into target/review-2/.
# The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/standin-2 $(pkg-config --cflags glib-2.0 jansson)"
libs="$(pkg-config --libs glib-2.0 jansson) -lpthread"
for case in review/*/case.c; do
	name=$(basename "$(dirname "$case")")
	gcc $flags "$case" review/standin-2/world.c -o "target/review-2/$name" $libs
done
