#!/usr/bin/env bash
# Measures the cost of control at an entry that serves no request: processor time,
# memory and traffic. Usage: idle.sh TARGETS ENTRIES [SECONDS]
set -u
cd "$(dirname "$0")/.."
targets=${1:-200}
entries=${2:-6}
seconds=${3:-15}
run=$(mktemp -d)
pids=()
trap 'kill -KILL "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$run"' EXIT

services=$(((targets + 13) / 14))
{
	echo '{"regions":['
	for r in 1 2 3 4; do
		printf '%s{"name":"r%d","domains":["r%d-a","r%d-b","r%d-c","r%d-d","r%d-e","r%d-f","r%d-g","r%d-h"]}' "$([ $r -gt 1 ] && echo ,)" $r $r $r $r $r $r $r $r $r
	done
	echo '],"services":['
	for ((s = 0; s < services; s++)); do
		printf '%s{"name":"s%d","class":"read","slots":3,"connections":260,"cold":1,"warmup":2000,"timeout":5000,"refusals":[503],"boot":"X-Boot"}\n' "$([ $s -gt 0 ] && echo ,)" $s
	done
	echo '],"vms":['
	for ((t = 0; t < targets; t++)); do
		d=$((t % 32))
		printf '%s{"name":"s%d-vm-%05d","service":"s%d","domain":"r%d-%s","address":"127.9.%d.%d:9000"}\n' "$([ $t -gt 0 ] && echo ,)" \
			$((t / 14)) $t $((t / 14)) $((d / 8 + 1)) "$(printf "\\x$(printf %x $((97 + d % 8)))")" $((t / 250)) $((t % 250 + 1))
	done
	echo '],"organisations":[{"name":"o"}],"rules":{"links":{"capacity":4000}}}'
} >"$run/config.json"
bin/pimentoarch check "$run/config.json" || exit 1

echo '[' >"$run/vms.json"
for ((e = 0; e < entries; e++)); do
	r=$((e % 4 + 1))
	printf '%s{"name":"entry-%03d","role":"entry","address":"127.8.%d.%d:9200","region":"r%d","domain":"r%d-a","state":"live"}\n' "$([ $e -gt 0 ] && echo ,)" $e $((e / 250)) $((e % 250 + 1)) $r $r >>"$run/vms.json"
	cat >"$run/entry-$e.json" <<S
{"name":"$(printf 'entry-%03d' $e)","region":"r$r","domain":"r$r-a","callers":"127.8.$((e / 250)).$((e % 250 + 1)):9100",
"peers":"127.8.$((e / 250)).$((e % 250 + 1)):9200","admin":"127.8.$((e / 250)).$((e % 250 + 1)):9300","platform":["127.8.255.1:9000"]}
S
done
echo ']' >>"$run/vms.json"

bin/pimentofake platform --listen 127.8.255.1:9000 --config "$run/config.json" --vms "$run/vms.json" &
pids+=($!)
for ((e = 0; e < entries; e++)); do
	bin/pimentoarch entry --settings "$run/entry-$e.json" --log error &
	pids+=($!)
done
sleep 10
value() { curl -s "http://127.8.0.1:9300/metrics" | awk -v n="$1" '$1 == n {print $2}'; }
cpu=$(value process_cpu_seconds_total)
bytes=$(value pimento_control_bytes_total)
calls=$(curl -s "http://127.8.255.1:9000/fake/calls")
sleep "$seconds"
cpu2=$(value process_cpu_seconds_total)
bytes2=$(value pimento_control_bytes_total)
calls2=$(curl -s "http://127.8.255.1:9000/fake/calls")
awk -v t="$targets" -v e="$entries" -v s="$seconds" -v c="$cpu" -v c2="$cpu2" -v b="$bytes" -v b2="$bytes2" -v p="$calls" -v p2="$calls2" \
	-v rss="$(value process_resident_memory_bytes)" -v heap="$(value go_memstats_heap_inuse_bytes)" \
	'BEGIN {printf "targets %d entries %d: %.2f%% of a core, resident %.1f MB, heap %.1f MB, control messages %.0f B/s, platform calls %.1f/s in all\n", t, e, (c2-c)/s*100, rss/1048576, heap/1048576, (b2-b)/s, (p2-p)/s}'
