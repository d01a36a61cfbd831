#!/bin/sh
# Builds the stand-ins and the programs of review 3 into target/review-3/. The
# build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags="-std=c++20 -O1 -g -Wall -Wextra $(pkg-config --cflags jansson)"
g++ $flags -c review/standin-3/world.cpp -o target/review-3/world.o
for source in review/[0-9]*/main.cpp; do
	name=$(basename "$(dirname "$source")")
	g++ $flags "$source" target/review-3/world.o \
		-o "target/review-3/$name" $(pkg-config --libs jansson) -lpthread
done
