#!/bin/sh
# Builds the programs of the review's scripts into target/review/: for each
# case its own, with the stand-ins.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -g -Wall -Wextra $(pkg-config --cflags jansson)"
g++ $flags -c review/standin/standin.cpp -o target/review/standin.o
for source in review/[0-9]*/case.cpp; do
	n=$(basename "$(dirname "$source")")
	g++ $flags "$source" target/review/standin.o -o "target/review/case$n" \
		$(pkg-config --libs jansson) -lpthread
done
