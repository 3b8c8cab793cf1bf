#!/usr/bin/env bash
# Measures the overhead that an entry adds to a call: a platform, the chart targets of
# examples/atriles in one domain, and one entry, on loopback.
set -u
cd "$(dirname "$0")/.."
dir=examples/atriles
run=$(mktemp -d)
pids=()
trap 'kill -KILL "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$run"' EXIT
# One entry, so that it has all shares; enough slots for 256 callers.
sed 's/"class": "read", "slots": 3/"class": "read", "slots": 40/' "$dir/config.json" >"$run/config.json"
echo '[{"name":"entry-1","role":"entry","address":"127.1.1.200:9200","region":"bizkaia","domain":"bizkaia-a","state":"live"}]' >"$run/vms.json"
bin/pimentofake platform --listen 127.1.0.1:9000 --config "$run/config.json" --vms "$run/vms.json" &
pids+=($!)
for n in 01 02 07 08 13 14 19 20; do
	bin/pimentofake target --config "$run/config.json" --name "charts-$n" --work 0 --queue 1000 &
	pids+=($!)
done
bin/pimentoarch entry --settings "$dir/entry-1.json" --log error &
pids+=($!)
sleep 10
# Warms the targets up.
bin/pimentofake measure --direct 127.1.1.1:9000 --entry 127.1.1.200:9100 --admin 127.1.1.200:9300 --seconds 3 >/dev/null
bin/pimentofake measure --direct 127.1.1.1:9000 --entry 127.1.1.200:9100 --admin 127.1.1.200:9300 --seconds "${1:-3}"
