#!/usr/bin/env bash
# A site of two versions: the program of HEAD~1 and of the working tree run
# entries side by side, as during a rolling upgrade. Settings applied through
# one version come into force at the other, both ways, and a load with writes
# through all entries is answered whole, each key run once. Then every entry of
# the older version is replaced by one of the newer, under a load. Ends only the
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

work="$(mktemp -d)"
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	git worktree remove --force "$work/tree" 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT
fail() {
	echo "upgrade failed: $*" >&2
	tail -qn 2 "$work"/*.err >&2 || true
	exit 1
}

git rev-parse -q --verify HEAD~1 >/dev/null || fail "HEAD~1 is not in this clone"
git worktree add -q --detach "$work/tree" HEAD~1
(cd "$work/tree" && go build -buildvcs=false -o "$work/older" .)
go build -buildvcs=false -o "$work/newer" .

# start NAME BINARY ARGS...: runs a process; its first lines of output are its
# addresses.
start() {
	local name="$1" bin="$work/$2"
	shift 2
	"$bin" "$@" >"$work/$name.out" 2>"$work/$name.err" &
	pids+=("$!")
	echo "$!" >"$work/$name.pid"
	for _ in $(seq 100); do
		[ -s "$work/$name.out" ] && return 0
		sleep 0.05
	done
	fail "$name did not start"
}
callers() { sed -n 1p "$work/$1.out"; }
operators() { sed -n 2p "$work/$1.out"; }

# eventually SECONDS WHAT COMMAND...: waits for a condition.
eventually() {
	local until=$((SECONDS + $1)) what="$2"
	shift 2
	until "$@"; do
		[ "$SECONDS" -lt "$until" ] || fail "not in time: $what"
		sleep 0.1
	done
}

service=deposit-ledger
places=(fremantle-hall subiaco-hall joondalup-hall)
seeds='[]'
entry() { # PROCESS VERSION PLACE NAME
	cat >"$work/$1.json" <<-JSON
		{"name": "$4", "region": "perth-metro", "place": "${places[$3]}",
		 "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
		 "platform": "$store", "seeds": $seeds}
	JSON
	start "$1" "$2" entry "$work/$1.json"
	[ "$seeds" != '[]' ] || seeds="[\"$(sed -n 3p "$work/$1.out")\"]"
}

# ring NAME COUNT: an entry has a stable ring of so many entries.
ring() {
	"$work/newer" status --json --entry "$(operators "$1")" 2>/dev/null | grep -q "\"members\":$2,\"joint\":false"
}
value() { # NAME FIELD -> the value in force
	"$work/newer" settings get "/swanbourne/$service" --entry "$(operators "$1")" | awk -v f="$2" '$1 == f {print $2}'
}
has() { [ "$(value "$1" "$2")" = "$3" ]; }

# edit VERSION AT FIELD VALUE OTHERS...: an edit by one version's command at one
# entry is in force at the others.
edit() {
	local version="$1" at="$2" field="$3" want="$4"
	shift 4
	"$work/$version" settings set "/swanbourne/$service" "$field" "$want" --entry "$(operators "$at")" >"$work/edit.out" 2>&1 ||
		fail "settings set at $at: $(cat "$work/edit.out")"
	for other in "$@"; do
		eventually 13 "$field $want of $at at $other" has "$other" "$field" "$want"
	done
}

# count FILE FIELD: a count of a load's report.
count() { sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$1"; }
sent=0
load() { # NAME REQUESTS ARGS...
	local name="$1" requests="$2"
	shift 2
	"$work/newer" load --services "$service" --rate 150 --requests "$requests" --writes 0.5 --seconds 60 --json "$@" \
		>"$work/$name.out" 2>"$work/$name.err" || fail "load: $(cat "$work/$name.out" "$work/$name.err")"
}
judge() { # NAME REQUESTS
	[ "$(count "$work/$1.out" answered)" = "$2" ] || fail "$1: $(cat "$work/$1.out")"
	sent=$((sent + $2))
}
# path ENTRY: makes a load's --direct send through this entry, home or not.
path() { echo "$(callers "$1")/v1/call/$service"; }

# resend KEY ENTRIES...: the key runs through the first entry; each other one
# gives its recorded answer.
resend() {
	local key="$1" first="" e
	shift
	for e in "$@"; do
		curl -fsS -D "$work/head" -H "Idempotency-Key: $key" -H "X-Request-Id: $key" -d x "http://$(path "$e")/deposits" >"$work/body" ||
			fail "key $key through $e: $(cat "$work/head" "$work/body")"
		if [ -z "$first" ]; then
			first="$(cat "$work/body")"
			continue
		fi
		[ "$(cat "$work/body")" = "$first" ] || fail "key $key through $e: found $(cat "$work/body"), expected $first"
		grep -qi '^plumpitch-replay: true' "$work/head" || fail "key $key through $e: not a replay"
	done
}

start store newer standin store --settings examples/swanbourne.json
store="http://$(callers store)"
for n in 0 1 2; do
	start "target$n" newer standin target --name "ledger-$n" --service "$service" --platform "$store" --place "${places[$n]}" --mean 2ms --sigma 0
done
entry a older 0 a
entry b newer 1 b
entry c older 2 c
entry d newer 0 d
for e in a b c d; do eventually 40 "the ring of $e" ring "$e" 4; done

edit older a timeout 4s b c d
edit newer b timeout 3s a c d
edit newer d locatettl 500ms a b c

load mixed 600 --direct "$(path a),$(path b),$(path c),$(path d)"
judge mixed 600
for n in $(seq 10); do
	resend "older-first-$n" a b c d
	resend "newer-first-$n" d c b a
done

# The older entries are replaced one after the other, under their own names,
# under a load that keeps to locate answers.
load replaced 1500 --entries "$(callers b),$(callers d)" &
loading=$!
seeds="[\"$(sed -n 3p "$work/b.out")\"]"
replace() { # ENTRY PLACE
	kill -TERM "$(cat "$work/$1.pid")"
	wait "$(cat "$work/$1.pid")" || fail "entry $1 ended with $?"
	entry "$1$1" newer "$2" "$1"
}
replace a 0
replace c 2
wait "$loading" || fail "load while entries were replaced"
judge replaced 1500
for e in aa b cc d; do eventually 40 "the ring of $e" ring "$e" 4; done
has aa timeout 3s || fail "the replaced entry has timeout $(value aa timeout), expected 3s"
for n in $(seq 10); do resend "older-first-$n" b aa cc d; done

# Keys are the targets' own word on what ran.
for n in 0 1 2; do
	curl -fsS "http://$(callers "target$n")/-/log" >"$work/runs$n"
done
grep -oh '"Key":"[^"]\+"' "$work"/runs? | sort | uniq -c >"$work/keys"
doubled="$(awk '$1 > 1' "$work/keys" | wc -l)"
[ "$doubled" = 0 ] || fail "$doubled keys ran more than once"
echo "upgrade ok: $sent requests over two versions, $(wc -l <"$work/keys") keys, 0 lost, 0 crossed, $doubled doubled, $SECONDS s"
