# Functions for the bench and test scripts: start stand-ins and entries on
# loopback addresses, and stop them on exit.
build=${BUILD:-build}
tmp=$(mktemp -d)
pids=""

cleanup() {
	for pid in $pids; do kill -CONT "$pid" 2>/dev/null; done
	for pid in $pids; do kill -9 "$pid" 2>/dev/null; done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && cp -r "$tmp" "$KEEP"; rm -rf "$tmp"
}
trap cleanup EXIT

field() { # NAME FILE: prints the last value of NAME= in FILE
	sed -n "s/.*\b$1=\([0-9.]*\).*/\1/p" "$2" | tail -n 1
}

start_store() { # ADDRESS
	"$build/bramley-standin" store -l "$1" &
	pids="$pids $!"
	sleep 0.2
}

start_store_anywhere() { # sets store to its address; the system chooses the port
	"$build/bramley-standin" store --any-port 127.0.0.1 >"$tmp/store" &
	pids="$pids $!"
	local end=$((SECONDS + 10))
	until store=$(cat "$tmp/store") && [ -n "$store" ]; do
		[ $SECONDS -lt $end ] || { echo "no store" >&2; exit 1; }
		sleep 0.05
	done
}

start_backend() { # CONTROL FIRST_IP COUNT [OPTION...]
	local control=$1 first=$2 count=$3
	shift 3
	"$build/bramley-standin" backend -l "$control" --first-ip "$first" -n "$count" "$@" &
	pids="$pids $!"
	sleep 0.2
}

write_settings() { # NAME ZONE IP STORE FILE
	cat >"$5" <<-END
	[entry]
	name = "$1"
	site = "herrera"
	zone = "$2"
	callers = "$3:8080"
	peers = "$3:7070"
	operators = "$3:9090"
	lease_ms = 2000
	heartbeat_ms = 200
	clock_skew_ms = 50
	[store]
	endpoints = ["http://$4"]
	prefix = "/bramleywing/herrera"
	timeout_ms = 500
	END
}

start_entry() { # NAME SETTINGS: sets entry_pid
	"$build/bramleywingd" -s "$2" 2>>"$tmp/$1.log" &
	entry_pid=$!
	pids="$pids $entry_pid"
}

wait_entry() { # IP SECONDS: waits until an entry is ready
	local end=$((SECONDS + $2))
	until curl -sf "http://$1:9090/ready" >/dev/null &&
		curl -s "http://$1:9090/status" | grep -q '"view_active": true'; do
		[ $SECONDS -lt $end ] || { echo "no entry at $1" >&2; exit 1; }
		sleep 0.1
	done
}

cpu_ms() { # PID: prints the processor time used so far, in ms
	awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' "/proc/$1/stat"
}
