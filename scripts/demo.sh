#!/usr/bin/env bash
# Runs a complete system on loopback: a fake platform, three fake engines, a fake
# ledger and three entry VMs, in three availability zones.
#   demo.sh run    start the processes, send requests and check the responses, stop
#   demo.sh up     start the processes and leave them running
#   demo.sh down   stop the processes that "up" started
set -euo pipefail
cd "$(dirname "$0")/.."
base=${DEMO_PORT:-18100}
dir=run
pids=$dir/pids
host=127.0.0.1
platform=$host:$base
team_key=demo-team-key
operator_key=demo-operator-key
zones=(enkoping sala koping)
vms() { for i in 0 1 2; do echo "$host:$((base + 10 + i))"; done; }
operators() { for i in 0 1 2; do echo "$host:$((base + 30 + i))"; done; }
sum() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# start NAME COMMAND...: runs a command in the background and writes its output to
# NAME.log
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	echo $! >>"$pids"
}

# wait_for TEXT COMMAND...: repeats a command until its output contains the text. It
# fails after 100 attempts with pauses of 0.1 s, about 10 s.
wait_for() {
	local text=$1
	shift
	for _ in $(seq 100); do
		if "$@" 2>/dev/null | grep -q "$text"; then return 0; fi
		sleep 0.1
	done
	echo "demo: timed out waiting for \"$text\" in the output of: $*" >&2
	return 1
}

vm_list() {
	echo '{'
	for i in 0 1 2; do
		echo "\"platform/vms/e$i\": {\"id\":\"e$i\",\"zone\":\"${zones[i]}\",\"role\":\"entry\",\"address\":\"$host:$((base + 10 + i))\",\"peerAddress\":\"$host:$((base + 20 + i))\",\"state\":\"live\"},"
		echo "\"platform/vms/m$i\": {\"id\":\"m$i\",\"zone\":\"${zones[i]}\",\"role\":\"engine\",\"address\":\"$host:$((base + 40 + i))\",\"models\":[\"drafts\"],\"state\":\"live\"},"
	done
	echo "\"platform/vms/l0\": {\"id\":\"l0\",\"zone\":\"${zones[0]}\",\"role\":\"service\",\"address\":\"$host:$((base + 50))\",\"models\":[\"ledger\"],\"state\":\"live\"}"
	echo '}'
}

settings() { bin/gentianwell settings "$@" --vm "$host:$((base + 30))" --key "$operator_key"; }

up() {
	if [ -s "$pids" ]; then
		echo "demo: already running (make demo-down stops it)" >&2
		exit 1
	fi
	mkdir -p "$dir"
	: >"$pids"
	vm_list >"$dir/vms.json"
	start platform bin/gwfake platform --listen "$platform" --load "$dir/vms.json"
	for i in 0 1 2; do
		start "m$i" bin/gwfake engine --id "m$i" --listen "$host:$((base + 40 + i))" --models drafts
	done
	start l0 bin/gwfake plain --id l0 --listen "$host:$((base + 50))"
	for i in 0 1 2; do
		cat >"$dir/e$i.json" <<JSON
{"id":"e$i","zone":"${zones[i]}","callers":"$host:$((base + 10 + i))","peers":"$host:$((base + 20 + i))",
 "operators":"$host:$((base + 30 + i))","platform":["$platform"],"operatorKeyHashes":["$(sum $operator_key)"],"notice":"500ms"}
JSON
		start "e$i" bin/gentianwell serve --config "$dir/e$i.json"
	done
	wait_for zone= bin/gentianwell status --vm "$host:$((base + 30))" --key "$operator_key"
	settings set site '{"defaultClass":"summary"}' classes.plot '{"tier":0,"deadline":"30s"}' classes.summary '{"tier":5}' \
		teams.judges "{\"keyHashes\":[\"$(sum $team_key)\"]}" models.drafts '{"minReplicas":3,"urgent":true}' \
		services.ledger '{"pathPrefix":"/ledger/"}'
	for vm in $(operators); do wait_for ready=true bin/gentianwell status --vm "$vm" --key "$operator_key"; done
	for vm in $(operators); do wait_for replicas=4 bin/gentianwell status --vm "$vm" --key "$operator_key"; done
	echo "callers: $(vms | xargs)"
	echo "operators: $(operators | xargs)"
}

down() {
	[ -s "$pids" ] || return 0
	for signal in TERM KILL; do
		for pid in $(cat "$pids"); do kill -$signal "$pid" 2>/dev/null || true; done
		for _ in $(seq 50); do
			alive=0
			for pid in $(cat "$pids"); do if kill -0 "$pid" 2>/dev/null; then alive=1; fi; done
			[ $alive = 1 ] || break
			sleep 0.1
		done
	done
	rm -f "$pids"
	echo "stopped"
}

check() {
	bin/gwload demo $(vms | sed 's/^/--vm /') --key "$team_key" --class plot --class summary
	settings set classes.summary.tier 6
	version=$(bin/gentianwell status --vm "$host:$((base + 30))" --key "$operator_key" | grep -o 'settingsVersion=[0-9]*')
	for vm in $(operators); do
		wait_for "$version" bin/gentianwell status --vm "$vm" --key "$operator_key"
		echo "settings vm=$vm $version in force"
	done
}

case "${1:-run}" in
up) up ;;
down) down ;;
run)
	trap down EXIT
	up
	check
	echo "demo passed"
	;;
*)
	echo "usage: demo.sh run|up|down" >&2
	exit 2
	;;
esac
