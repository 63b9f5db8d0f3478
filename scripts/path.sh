#!/usr/bin/env bash
# The whole path as processes of their own: a store, three targets of one
# service, two entries and a load, all on free loopback ports. Ends only the
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

work="$(mktemp -d)"
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap cleanup EXIT
fail() {
	echo "path failed: $*" >&2
	tail -qn 2 "$work"/*.err >&2 || true
	exit 1
}

go build -o "$work/plumpitch" .
bin="$work/plumpitch"

# start NAME ARGS...: runs a process; its first line of output is its address.
start() {
	local name="$1"
	shift
	"$bin" "$@" >"$work/$name.out" 2>"$work/$name.err" &
	pids+=("$!")
	for _ in $(seq 100); do
		[ -s "$work/$name.out" ] && return 0
		sleep 0.05
	done
	fail "$name did not start"
}
address() { head -n 1 "$work/$1.out"; }

start store standin store
store="http://$(address store)"

for n in 1 2 3; do
	start "target$n" standin target --name "gown-$n" --service gown-catalogue \
		--platform "$store" --place fremantle-hall --mean 2ms --seed "$n"
done

for n in 1 2; do
	cat >"$work/entry$n.json" <<-EOF
		{
			// one entry VM
			"name": "entry-$n", "region": "perth-metro", "place": "fremantle-hall",
			"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
			"platform": "$store",
		}
	EOF
	start "entry$n" entry "$work/entry$n.json"
done
entries="$(address entry1),$(address entry2)"

"$bin" settings apply examples/swanbourne.json --entry "$(sed -n 2p "$work/entry1.out")" --wait >"$work/apply.out" 2>"$work/apply.err" ||
	fail "settings apply: $(cat "$work/apply.out" "$work/apply.err")"

for n in 1 2; do
	ok=
	for _ in $(seq 100); do
		"$bin" ready --entry "$(sed -n 2p "$work/entry$n.out")" >/dev/null 2>&1 && ok=1 && break
		sleep 0.1
	done
	[ -n "$ok" ] || fail "entry $n is not ready"
done

"$bin" load --entries "$entries" --services gown-catalogue --rate 200 --requests 600 --writes 0.2 --seconds 30 --json \
	>"$work/load.out" 2>"$work/load.err" || fail "load: $(cat "$work/load.out" "$work/load.err")"

field() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p" "$work/load.out"; }
sent="$(field sent)" answered="$(field answered)" crossed="$(field crossed)" lost="$(field lost)"
[ "$sent" = 600 ] || fail "sent $sent of 600"
[ "$answered" = "$sent" ] || fail "$(cat "$work/load.out")"
echo "path ok: $sent requests, $answered answered, $crossed crossed, $lost lost"
