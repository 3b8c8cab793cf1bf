#!/usr/bin/env bash
# Measures cheap reads without and with concurrent heavy bulk downloads, in
# turns: 6 entries and 45 targets of examples/atriles on loopback.
# Usage: bulk.sh [SECONDS] [DOWNLOADS PER SECOND]
set -u
cd "$(dirname "$0")/.."
dir=examples/atriles
seconds=${1:-10}
rate=${2:-20}
run=$(mktemp -d)
pids=()
trap 'kill -KILL "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$run"' EXIT
bin/pimentofake platform --listen 127.1.0.1:9000 --config "$dir/config.json" --vms "$dir/vms.json" &
pids+=($!)
for name in $(sed -n 's/.*"name": "\([a-z]*-[0-9]*\)", "service".*/\1/p' "$dir/config.json"); do
	bin/pimentofake target --config "$dir/config.json" --name "$name" &
	pids+=($!)
done
entries=()
for n in 1 2 3 4 5 6; do
	bin/pimentoarch entry --settings "$dir/entry-$n.json" --log error &
	pids+=($!)
	entries+=("127.1.$n.200:9100")
done
sleep 10
reads='{"service":"charts","method":"GET","path":"/charts/oviedo","org":"oviedo","rate":400}'
bulk='{"service":"archive","method":"GET","path":"/packs/7","org":"oviedo","size":2000000,"rate":'$rate'}'
echo "[$reads]" >"$run/reads.json"
echo "[$reads,$bulk]" >"$run/both.json"
load() { bin/pimentofake caller --entries "${entries[@]}" --routes "$run/$1.json" --seconds "$2"; }
load both 10 >/dev/null # Warms the targets up.
for _ in 1 2 3; do
	echo "without bulk: $(load reads "$seconds" | grep charts)"
	echo "with bulk:    $(load both "$seconds" | grep charts)"
done
