#!/bin/bash
# run.sh TARGET KIND: plays a crowd of clients (crowd.c) against one real
# process on loopback addresses, with small limits in its settings. TARGET is
# node (bramley-fleetd: callers), ready, metrics or peers (its other ports) or
# entry (bramleywingd). The crowd and the bounds are fixed here.
set -u
cd "$(dirname "$0")/../.."
. scripts/lib.sh
target=$1
kind=$2
# Of the node. Without a crowd it takes about 16 MB and 120 descriptors.
memory_mb=64
descriptors=256
count=300

free_ports() { # COUNT: prints addresses that nothing uses, one a line
	"$build/test/crowd/ports" "$1"
}

wait_until() { # WHAT COMMAND...: for at most 20 s
	local what=$1 end=$((SECONDS + 20))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || { echo "no $what" >&2; exit 1; }
		sleep 0.1
	done
}

start_node() { # sets pid and the addresses callers, ready, metrics, peers
	"$build/test/crowd/store" >"$tmp/store" &
	pids="$pids $!"
	wait_until store test -s "$tmp/store"
	read -r callers ready metrics peers < <(free_ports 4 | tr '\n' ' ')
	cat >"$tmp/node.toml" <<-END
	[node]
	name = "node-0"
	zone = "zone-a"
	ip = "127.0.0.1"
	callers = "$callers"
	ready = "$ready"
	peers_port = ${peers#*:}
	metrics_port = ${metrics#*:}
	first_start = true
	[platform]
	store = "$(cat "$tmp/store")"
	[capacity]
	core_share = 0.12
	cores = 1
	memory_mb = $memory_mb
	descriptors = $descriptors
	END
	"$build/bramley-fleetd" -s "$tmp/node.toml" >"$tmp/node.log" 2>&1 &
	pid=$!
	pids="$pids $pid"
	wait_until node curl -sf -m 1 "http://$ready/"
	# It has to read its configuration and to claim its pools.
	wait_until submission curl -sf -m 3 -H "Host: soak.example" -X POST \
		-d '{"spec":"a","steps":[{"count":1,"cpu":100,"mem_mb":64}]}' \
		"http://$callers/pool-0/00000000000000ff"
	# In calm a job of the largest legal size is served.
	printf '{"spec":"a","steps":[{"count":1,"cpu":100,"mem_mb":64}]%262088s}' "" >"$tmp/large"
	[ "$(stat -c %s "$tmp/large")" = 262144 ] || exit 2
	curl -sf -m 20 -H "Host: soak.example" -H "Expect:" -X POST --data-binary @"$tmp/large" \
		"http://$callers/pool-0/00000000000000fe" >/dev/null ||
		{ echo "FAILED: a job of the largest size is not served in calm"; exit 1; }
}

start_bramleywingd() { # sets pid and the address callers
	local operators
	start_store_anywhere
	read -r callers peers operators control server \
		< <(free_ports 5 | tr '\n' ' ')
	"$build/bramley-standin" backend -l "$control" --first-ip 127.0.0.1 \
		-p "${server#*:}" -n 1 >/dev/null &
	pids="$pids $!"
	cat >"$tmp/entry.toml" <<-END
	[entry]
	name = "entry-0"
	site = "crowd"
	zone = "z"
	callers = "$callers"
	peers = "$peers"
	operators = "$operators"
	lease_ms = 2000
	heartbeat_ms = 200
	clock_skew_ms = 50
	[store]
	endpoints = ["http://$store"]
	prefix = "/crowd"
	timeout_ms = 500
	[limits]
	connections = $((descriptors - 64))
	body_bytes = 262144
	body_memory_bytes = 16777216
	END
	cat >"$tmp/table.json" <<-END
	{"pools": [{"name": "p"}],
	 "services": [{"name": "s", "prefix": "/s/", "class": "urgent",
	  "once": "unsafe", "wait_ms": 2000, "queue_max": 2000,
	  "retry_pct": 10, "attempts_max": 3}],
	 "cells": [{"service": "s", "pool": "p", "weight": 100}]}
	END
	cat >"$tmp/workers.json" <<-END
	{"workers": [{"name": "w", "address": "$server", "zone": "z",
	  "rack": "r", "pool": "p", "slots": 8, "connections": 64,
	  "state": "serving"}]}
	END
	"$build/bramleyctl" -s "$tmp/entry.toml" table import "$tmp/table.json" &&
		"$build/bramleyctl" -s "$tmp/entry.toml" worker import "$tmp/workers.json" ||
		exit 1
	"$build/bramleywingd" -s "$tmp/entry.toml" 2>"$tmp/entry.log" &
	pid=$!
	pids="$pids $pid"
	wait_until entry curl -sf -m 1 "http://$operators/ready"
	wait_until answer curl -sf -m 3 "http://$callers/s/counter/?ms=0"
}

crowd() { # ADDRESS OPTION...
	local address=$1
	shift
	"$build/test/crowd/crowd" --target="$address" --pid="$pid" --kind="$kind" \
		--count=$count --memory-mb=$memory_mb --descriptors=$descriptors "$@"
}

status=0
case $target in
node)
	start_node
	crowd "$callers" --host=soak.example --path=/pool-0/ || status=1
	;;
ready)
	start_node
	crowd "$ready" --get=/ || status=1
	;;
metrics)
	start_node
	crowd "127.0.0.1:${metrics#*:}" --path=/queues/queue-0/jobs/ --get=/status || status=1
	;;
peers)
	start_node
	crowd "127.0.0.1:${peers#*:}" --ordinary="$callers" --host=soak.example \
		--path=/pool-0/ || status=1
	;;
entry)
	start_bramleywingd
	crowd "$callers" --path=/s/ || status=1
	;;
*)
	echo "no such target" >&2
	exit 2
	;;
esac
[ $status = 0 ] || tail -n 5 "$tmp"/*.log
exit $status
