#!/usr/bin/env bash
# Starts one example on this machine, sends load, injects failures, and prints a
# summary of the requests, and of what the targets ran. Usage: demo.sh [atriles|vanua]
set -u
cd "$(dirname "$0")/.."
example=${1:-atriles}
dir=examples/$example
bin=bin
run=$(mktemp -d)
pids=()
declare -A entry_pid

finish() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$run"
}
trap finish EXIT
trap 'exit 1' INT TERM

say() { printf '%3ds  %s\n' "$((SECONDS))" "$1"; }
SECONDS=0

field() { sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }
platform=$(sed -n 's/.*"\(127[^"]*:9000\)".*/\1/p' "$dir/entry-1.json" | head -n 1)
post() { curl -fsS -X POST --data-binary "@$2" "http://$platform/fake/$1" >/dev/null; }

"$bin/pimentofake" platform --listen "$platform" --config "$dir/config.json" --vms "$dir/vms.json" --lag 500 &
pids+=($!)
names=$(sed -n 's/.*"name": "\([a-z]*-[0-9]*\)", "service".*/\1/p' "$dir/config.json")
for name in $names; do
	"$bin/pimentofake" target --config "$dir/config.json" --name "$name" --log "$run/runs-$name.log" &
	pids+=($!)
done

start_entry() { # settings file, then flags
	"$bin/pimentoarch" entry --settings "$@" 2>>"$run/entries.log" &
	last=$!
	pids+=("$last")
}
callers=()
admins=()
for n in 1 2 3 4 5 6; do
	start_entry "$dir/entry-$n.json" --log warn
	entry_pid[$n]=$last
	callers+=("$(field "$dir/entry-$n.json" callers)")
	admins+=("$(field "$dir/entry-$n.json" admin)")
done
# Addresses of the two replacements that follow.
callers+=("${callers[1]/9100/9101}" "${callers[3]/9100/9101}")
admins+=("${admins[1]/9300/9301}" "${admins[3]/9300/9301}")

for n in 1 2 3 4 5 6; do
	for _ in $(seq 100); do
		curl -fs "http://${admins[n-1]}/health" >/dev/null 2>&1 && break
		sleep 0.1
	done
done
say "platform, $(echo "$names" | wc -l) targets and 6 entries are running"
sleep 9 # Owners of cold targets wait for the list of VMs to reach all entries.

"$bin/pimentofake" caller --entries "${callers[@]}" --health "${admins[@]}" \
	--routes "$dir/routes.json" --seconds 26 --log "$run/calls.log" \
	--runs "$run/runs-*.log" --config "$dir/config.json" >"$run/summary" 2>&1 &
caller=$!
say "load begins"

# replace N: publishes the list of VMs with entry N replaced by entry-Nb.
replace() {
	sed -i "s/\"entry-$1\", \(.*\):9200/\"entry-$1b\", \1:9201/" "$run/vms.json"
	post vms "$run/vms.json"
}
cp "$dir/vms.json" "$run/vms.json"

sleep 4
kill -KILL "${entry_pid[2]}"
say "entry-2 is killed"
replace 2
peers2=$(field "$dir/entry-2.json" peers)
start_entry "$dir/entry-2.json" --log warn --name entry-2b --callers "${callers[6]}" --peers "${peers2/9200/9201}" --admin "${admins[6]}"
say "its replacement starts"

sleep 4
out=$(sed -n 's/.*"domains": \["[^"]*", "\([^"]*\)".*/\1/p' "$dir/config.json" | sed -n 3p)
sed "s/\"out\": \[\]/\"out\": [\"$out\"]/" "$dir/config.json" >"$run/out.json"
post "set?name=config" "$run/out.json"
say "domain $out is taken out of service"
sleep 5
post "set?name=config" "$dir/config.json"
say "domain $out is in service again"

sleep 3
kill -TERM "${entry_pid[4]}"
say "entry-4 begins a planned stop"
peers4=$(field "$dir/entry-4.json" peers)
start_entry "$dir/entry-4.json" --log warn --name entry-4b --callers "${callers[7]}" --peers "${peers4/9200/9201}" --admin "${admins[7]}"
replace 4
wait "${entry_pid[4]}"
stopped=$?
say "entry-4 has stopped with status $stopped"

wait "$caller"
status=$?
say "load has ended"
echo
cat "$run/summary"
echo
echo "runs by domain over the whole run, with $out out of service for a time:"
cat "$run"/runs-*.log | sed -n 's/.*"domain":"\([^"]*\)".*/\1/p' | sort | uniq -c
falls=0
for address in $(sed -n 's/.*"address": "\(127[^"]*\)".*/\1/p' "$dir/config.json"); do
	n=$(curl -fsS "http://$address/fake/state" | sed -n 's/.*"falls":\([0-9]*\).*/\1/p')
	[ "${n:-0}" -eq 0 ] || echo "$address fell over $n times while cold"
	falls=$((falls + ${n:-0}))
done
echo "targets that fell over while cold: $falls"
grep -h 'level=error' "$run/entries.log" | head -n 5
[ "$stopped" -eq 0 ] || status=1
exit "$status"
