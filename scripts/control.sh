#!/usr/bin/env bash
# Control's cost at the entries of today: ENTRIES (14) entries as processes, a
# store and a few targets, no requests. After a start-up of 20 s it samples for
# SECONDS (30) and prints per entry: processor time in percent of a core,
# resident memory in MB, peers' bytes a second on the wire and store calls a
# second. Ends only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
entries="${ENTRIES:-14}" seconds="${SECONDS_SAMPLED:-30}"

work="$(mktemp -d)"
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap cleanup EXIT

go build -o "$work/plumpitch" .
bin="$work/plumpitch"
start() {
	local name="$1"
	shift
	"$bin" "$@" >"$work/$name.out" 2>"$work/$name.err" &
	pids+=("$!")
	echo "$!" >"$work/$name.pid"
	for _ in $(seq 100); do
		[ -s "$work/$name.out" ] && return 0
		sleep 0.05
	done
	echo "control failed: $name did not start" >&2
	exit 1
}

start store standin store --settings examples/swanbourne.json
store="http://$(head -n 1 "$work/store.out")"
for n in 1 2 3; do
	start "target$n" standin target --name "gown-$n" --service gown-catalogue --platform "$store" --place fremantle-hall
done
places=(fremantle-hall subiaco-hall joondalup-hall)
seeds='[]'
for n in $(seq "$entries"); do
	cat >"$work/e$n.json" <<-EOF
		{"name": "entry-$n", "region": "perth-metro", "place": "${places[$((n % 3))]}",
		 "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
		 "platform": "$store", "seeds": $seeds}
	EOF
	start "e$n" entry "$work/e$n.json"
	[ "$n" = 1 ] && seeds="[\"$(sed -n 3p "$work/e1.out")\"]"
done
sleep 20

ticks="$(getconf CLK_TCK)"
sample() { # NAME -> cpu ticks, rss kB, wire bytes, store calls
	local pid
	pid="$(cat "$work/$1.pid")"
	local cpu rss metrics
	cpu="$(awk '{print $14+$15}' "/proc/$pid/stat")"
	rss="$(awk '/VmRSS/{print $2}' "/proc/$pid/status")"
	metrics="$("$bin" metrics --entry "$(sed -n 2p "$work/$1.out")")"
	echo "$cpu $rss" \
		"$(awk '/^plumpitch_peer_wire_bytes/{s+=$2} END{printf "%d", s}' <<<"$metrics")" \
		"$(awk '/^plumpitch_store_calls/{s+=$2} END{printf "%d", s}' <<<"$metrics")" \
		"$(awk '/^plumpitch_entries_live/{s+=$2} END{printf "%d", s}' <<<"$metrics")"
}
for n in $(seq "$entries"); do sample "e$n" >"$work/e$n.before"; done
sleep "$seconds"
for n in $(seq "$entries"); do sample "e$n" >"$work/e$n.after"; done

printf '%-8s %6s %8s %8s %10s %10s\n' entry live cpu% rssMB wireB/s store/s
for n in $(seq "$entries"); do
	paste -d' ' "$work/e$n.before" "$work/e$n.after" |
		awk -v n="$n" -v s="$seconds" -v t="$ticks" '{printf "e%-7d %6d %8.2f %8.1f %10.0f %10.2f\n", n, $10, ($6-$1)/t/s*100, $7/1024, ($8-$3)/s, ($9-$4)/s}'
done | tee "$work/rows"
awk '{c+=$3; r+=$4; b+=$5; q+=$6; if($3>mc)mc=$3; if($4>mr)mr=$4; if($5>mb)mb=$5} END{printf "mean     %6s %8.2f %8.1f %10.0f %10.2f\nmost     %6s %8.2f %8.1f %10.0f\n", "", c/NR, r/NR, b/NR, q/NR, "", mc, mr, mb}' "$work/rows"
