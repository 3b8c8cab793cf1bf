#!/usr/bin/env bash
# Random faults on the whole path: kills, freezes, planned stops and restarts of
# entries, restarts, slow-downs, silent connections and crashes of targets,
# domains out, and a platform that is down, slow or stale. At the end it compares
# the responses that callers got with the requests that targets ran.
# Usage: soak.sh [SECONDS] [SEED] [atriles|vanua]
set -u
cd "$(dirname "$0")/.."
seconds=${1:-300}
seed=${2:-$RANDOM}
example=${3:-atriles}
dir=examples/$example
run=$(mktemp -d)
RANDOM=$seed
pids=()
declare -A entry_pid generation
trap 'kill -CONT "${pids[@]}" 2>/dev/null; kill -KILL "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$run"' EXIT
trap 'exit 1' INT TERM
echo "seed $seed, $seconds seconds, $example"

field() { sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }
platform=$(sed -n 's/.*"\(127[^"]*:9000\)".*/\1/p' "$dir/entry-1.json" | head -n 1)
order() { curl -fsS -m 2 -X POST "http://$platform/fake/$1" "${@:2}" >/dev/null; }

bin/pimentofake platform --listen "$platform" --config "$dir/config.json" --vms "$dir/vms.json" --lag 500 &
pids+=($!)
addresses=($(sed -n 's/.*"address": "\(127[^"]*\)".*/\1/p' "$dir/config.json"))
for name in $(sed -n 's/.*"name": "\([a-z]*-[0-9]*\)", "service".*/\1/p' "$dir/config.json"); do
	bin/pimentofake target --config "$dir/config.json" --name "$name" --log "$run/runs-$name.log" &
	pids+=($!)
done

# port N BASE: the port of the current generation of entry N.
port() { echo $(($2 + ${generation[$1]} % 8)); }
ip() { field "$dir/entry-$1.json" callers | cut -d: -f1; }
start() {
	local n=$1
	bin/pimentoarch entry --settings "$dir/entry-$n.json" --log warn --name "entry-$n-${generation[$n]}" \
		--callers "$(ip "$n"):$(port "$n" 9100)" --peers "$(ip "$n"):$(port "$n" 9200)" --admin "$(ip "$n"):$(port "$n" 9300)" 2>>"$run/entries.log" &
	entry_pid[$n]=$!
	pids+=($!)
}
publish() {
	local n list=''
	for n in 1 2 3 4 5 6; do
		list+="${list:+,}{\"name\":\"entry-$n-${generation[$n]}\",\"role\":\"entry\",\"address\":\"$(ip "$n"):$(port "$n" 9200)\",\"region\":\"$(field "$dir/entry-$n.json" region)\",\"domain\":\"$(field "$dir/entry-$n.json" domain)\",\"state\":\"live\"}"
	done
	order vms --data-binary "[$list]"
}
entries=()
health=()
for n in 1 2 3 4 5 6; do
	generation[$n]=0
	start "$n"
	for g in 0 1 2 3 4 5 6 7; do
		entries+=("$(ip "$n"):$((9100 + g))")
		health+=("$(ip "$n"):$((9300 + g))")
	done
done
sleep 1
publish
sleep 10
bin/pimentofake caller --entries "${entries[@]}" --health "${health[@]}" --routes "$dir/routes.json" --seconds "$seconds" \
	--scale 0.6 --log "$run/calls.log" --runs "$run/runs-*.log" --config "$dir/config.json" >"$run/summary" 2>&1 &
caller=$!

replace() {
	generation[$1]=$((generation[$1] + 1))
	start "$1"
	publish
}
domains=($(sed -n 's/.*"domains": \["\([^"]*\)", "\([^"]*\)".*/\1 \2/p' "$dir/config.json"))
target() { curl -fsS -m 2 "http://${addresses[RANDOM % ${#addresses[@]}]}/fake/$1" >/dev/null; }
SECONDS=0
while [ "$SECONDS" -lt $((seconds - 15)) ]; do
	n=$((RANDOM % 6 + 1))
	fault=$((RANDOM % 11))
	case $fault in
	0) what="entry $n is killed and replaced" && kill -KILL "${entry_pid[$n]}" && replace "$n" ;;
	1 | 2) what="entry $n stops as planned and is replaced" && kill -TERM "${entry_pid[$n]}" && replace "$n" ;;
	3) what="entry $n freezes for 3 s" && kill -STOP "${entry_pid[$n]}" && sleep 3 && kill -CONT "${entry_pid[$n]}" ;;
	4) what="a target restarts" && target restart ;;
	5) what="a target is slow for 3 s" && a=${addresses[RANDOM % ${#addresses[@]}]} && curl -s "http://$a/fake/slow?factor=10" && sleep 3 && curl -s "http://$a/fake/slow?factor=1" ;;
	6) what="all connections to a target go silent" && target silence ;;
	7) d=${domains[RANDOM % 6]} && what="domain $d is out of service for 4 s" && sed "s/\"out\": \[\]/\"out\": [\"$d\"]/" "$dir/config.json" >"$run/out.json" && order "set?name=config" --data-binary "@$run/out.json" && sleep 4 && order "set?name=config" --data-binary "@$dir/config.json" ;;
	8) what="the platform is down for 5 s" && order "down?on=true" && sleep 5 && order "down?on=false" ;;
	9) what="the platform is stale for 4 s" && order "stale?on=true" && sleep 4 && order "stale?on=false" ;;
	10) what="a request that crashes targets is sent 5 times" && for i in 1 2 3 4 5; do curl -s -m 3 -o /dev/null -H 'Pimento-Org: oviedo' -H 'Pimento-Org: drivers' -H 'X-Crash: 1' "http://$(ip "$n"):$(port "$n" 9100)/charts/poison-$SECONDS"; done ;;
	esac
	printf '%4ds  %s\n' "$SECONDS" "$what"
	sleep $((RANDOM % 3 + 1))
done
wait "$caller"
status=$?
echo
cat "$run/summary"
grep -h 'level=error' "$run/entries.log" | cut -c1-200 | sort | uniq -c | head -n 5
echo "seed $seed"
exit $status
