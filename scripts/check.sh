#!/bin/bash
# Runs the formatter, the linter and all tests; ends with "N passed, N failed".
# Tests that KNOWN-RED.txt lists are run and printed, but do not fail the run.
# The tests run side by side, one a core; their results are printed in order.
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
cores=$(nproc)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
kinds=()
names=()

finish_step() { # NAME OUTPUT STATUS: counts a command as one test
	if [ "$3" = 0 ]; then
		passed=$((passed + 1))
		echo "ok      $1"
	else
		failed=$((failed + 1))
		echo "FAILED  $1"
		tail -n 40 "$2"
	fi
}

known_red() { # NAME: succeeds if KNOWN-RED.txt lists the test
	[ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

finish_suite() { # PROGRAM OUTPUT STATUS: counts each cmocka test of a program
	local out=$2 status=$3 ok_count failed_count=0 name
	ok_count=$(grep -c '^\[       OK \]' "$out")
	while read -r name; do
		if known_red "$name"; then
			echo "known red: $name"
		else
			failed_count=$((failed_count + 1))
		fi
	done < <(sed -n 's/^\[  FAILED  \] \([a-z_0-9]*\)$/\1/p' "$out" | sort -u)
	# The tests after a crash do not run, so a crash counts as a failure.
	if [ "$status" -gt 128 ] || { [ "$status" -ne 0 ] && [ "$(grep -c FAILED "$out")" = 0 ]; }; then
		failed_count=$((failed_count + 1))
	fi
	passed=$((passed + ok_count))
	failed=$((failed + failed_count))
	echo "$([ $failed_count = 0 ] && echo ok || echo FAILED)      $1: $ok_count passed, $failed_count failed"
	[ $failed_count = 0 ] || tail -n 60 "$out"
}

step() { # NAME COMMAND...: runs a command that others depend on
	local name=$1 status=0
	shift
	"$@" >"$dir/step" 2>&1 || status=$?
	finish_step "$name" "$dir/step" $status
}

begin() { # KIND NAME COMMAND...: starts a test once a core is free
	local index=${#names[@]}
	kinds+=("$1")
	names+=("$2")
	shift 2
	while [ "$(jobs -pr | wc -l)" -ge "$cores" ]; do
		wait -n
	done
	{
		status=0
		"$@" >"$dir/$index.out" 2>&1 || status=$?
		echo $status >"$dir/$index.status"
	} &
}

collect() { # Waits for the tests that were started and prints their results.
	local i status
	wait
	for ((i = 0; i < ${#names[@]}; i++)); do
		# Without a status the test's shell was killed.
		status=$(cat "$dir/$i.status" 2>/dev/null || echo 255)
		"finish_${kinds[$i]}" "${names[$i]}" "$dir/$i.out" "$status"
	done
	kinds=()
	names=()
}

crowd() { # TARGET KIND: runs beside nothing else; see test/crowd/run.sh
	local name="crowd-$1-$2" status=0
	timeout 120 test/crowd/run.sh "$1" "$2" >"$dir/crowd" 2>&1 || status=$?
	if [ $status != 0 ] && known_red "$name"; then
		echo "known red: $name"
		return
	fi
	finish_step "$name" "$dir/crowd" $status
}

begin_suites() { # DIRECTORY: starts its test programs
	local test
	for test in "$1"/test_*; do
		[ -x "$test" ] && begin suite "$test" timeout 300 "$test"
	done
}

begin_fuzzers() {
	local fuzzer
	for fuzzer in build/fuzz/fuzz_*; do
		case $fuzzer in
		*.o | *.d) ;;
		*_broken) begin step "$fuzzer is caught" scripts/fuzz-caught.sh "$fuzzer" ;;
		*) begin step "$fuzzer" scripts/fuzz-run.sh "$fuzzer" ;;
		esac
	done
}

step "build" make -j "$cores" all tests build/test/play_world build/soak/soak
step "build of the crowds" make -j "$cores" crowds
step "format" make format-check
step "lint" make lint
step "build with sanitizers" make -j "$cores" BUILD=build/san CC=clang CXX=clang++ \
	SANITIZE="-fsanitize=address,undefined -fno-sanitize=vptr -fno-sanitize-recover=undefined" \
	OPT="-O1 -g" all tests
if [ -d fuzz ] && ls fuzz/fuzz_*.c >/dev/null 2>&1; then
	step "fuzzers build" make -j "$cores" fuzzers
fi
for page in man/*.[1-9]; do
	[ -f "$page" ] && begin step "$page" mandoc -T lint -W warning "$page"
done
export ASAN_OPTIONS=detect_leaks=1
# The longest ones first.
begin step "worlds catch broken schedulers" scripts/world-caught.sh
begin step "soak of real nodes" build/soak/soak --first=1 --seeds=4 --side-by-side=2 --length=6000
begin step "soak of owners in turn" build/soak/soak --owners --first=4 --seeds=2 --side-by-side=2 \
	--logs=build/soak/owners
begin_suites build/san/test
begin_suites build/test
begin step "test/test_ctl.sh" test/test_ctl.sh
begin step "test/test_side_by_side.sh" test/test_side_by_side.sh
begin_fuzzers
collect
for kind in whole pieces chunks small-chunks headers idle; do
	crowd node $kind
	crowd entry $kind
done
crowd ready idle
crowd metrics pieces
crowd peers frames
echo "$passed passed, $failed failed"
[ $failed = 0 ]
