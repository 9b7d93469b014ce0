#!/usr/bin/env bash
# Measures the CPU time and memory of an idle entry VM: starts N entry VMs in seven
# availability zones with 2N replicas and prints the means per VM.
#   fleet.sh N SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
n=${1:?number of entry VMs}
seconds=${2:-15}
base=${FLEET_PORT:-20000}
host=127.0.0.1
dir=run/fleet
mkdir -p "$dir"
pids=()
trap 'kill -KILL "${pids[@]}" 2>/dev/null || true' EXIT

{
	echo '{'
	for ((i = 0; i < n; i++)); do
		echo "\"platform/vms/e$i\": {\"id\":\"e$i\",\"zone\":\"z$((i % 7))\",\"role\":\"entry\",\"address\":\"$host:$((base + 100 + 3 * i))\",\"peerAddress\":\"$host:$((base + 101 + 3 * i))\",\"state\":\"live\"},"
	done
	for ((i = 0; i < 2 * n; i++)); do
		echo "\"platform/vms/m$i\": {\"id\":\"m$i\",\"zone\":\"z$((i % 7))\",\"role\":\"engine\",\"address\":\"$host:$((base + 10 + i % 8))\",\"models\":[\"model$((i % 22))\"],\"state\":\"live\"},"
	done
	echo "\"platform/vms/l0\": {\"id\":\"l0\",\"zone\":\"z0\",\"role\":\"service\",\"address\":\"$host:$((base + 10))\",\"models\":[\"ledger\"],\"state\":\"live\"}"
	echo '}'
} >"$dir/vms.json"

# start NAME COMMAND...: runs a command in the background and writes its output to
# NAME.log
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

start platform bin/gwfake platform --listen "$host:$base" --load "$dir/vms.json"
for ((i = 0; i < 8; i++)); do
	start "m$i" bin/gwfake engine --id "m$i" --listen "$host:$((base + 10 + i))" --models model0
done
sleep 0.5
vms=()
for ((i = 0; i < n; i++)); do
	start "e$i" bin/gentianwell serve --id "e$i" --zone "z$((i % 7))" --callers "$host:$((base + 100 + 3 * i))" \
		--peers "$host:$((base + 101 + 3 * i))" --operators "$host:$((base + 102 + 3 * i))" --platform "$host:$base" --log-level warning
	vms+=("${pids[-1]}")
done

# ticks prints the CPU time of all entry VMs in clock ticks.
ticks() {
	local sum=0 pid
	for pid in "${vms[@]}"; do
		read -r -a stat <"/proc/$pid/stat"
		sum=$((sum + stat[13] + stat[14]))
	done
	echo "$sum"
}

sleep 8
before=$(ticks)
sleep "$seconds"
after=$(ticks)
rss=0
for pid in "${vms[@]}"; do
	kb=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")
	rss=$((rss + kb))
done
hz=$(getconf CLK_TCK)
awk -v n="$n" -v t="$((after - before))" -v hz="$hz" -v s="$seconds" -v rss="$rss" \
	'BEGIN {printf "vms=%d replicas=%d cpuPercent=%.2f rssMB=%.1f\n", n, 2*n, 100*t/hz/s/n, rss/n/1024}'
