#!/usr/bin/env bash
# Makes two cuts of a site file beside a copy of its wire.json: DIR/short, with work an
# eighth as long and four times as many requests, and DIR/wide, with 8 slots a target and
# half as many requests more. With the first, the bound of cold targets binds: two slots
# don't hold it by themselves.
#
#   scripts/cuts.sh SITE.toml DIR
set -euo pipefail
site="$1" dir="$2"

# cut NAME WORK RATE SLOTS: factors of work and rate; SLOTS replaces the slots if given.
cut_site() {
	mkdir -p "$dir/$1"
	cp "$(dirname "$site")/wire.json" "$dir/$1/"
	awk -v name="cut-$1" -v work="$2" -v rate="$3" -v slots="$4" '
		function scale(line, key, by,    at, head, rest, n) {
			at = index(line, key)
			if (!at) return line
			head = substr(line, 1, at + length(key) - 1)
			rest = substr(line, at + length(key))
			match(rest, /^[0-9.]+/)
			n = substr(rest, 1, RLENGTH)
			return head (n * by) (n * by == int(n * by) ? ".0" : "") substr(rest, RLENGTH + 1)
		}
		/^name = / && !named { $0 = "name = \"" name "\""; named = 1 }
		/work_ms = / {
			at = index($0, "work_ms = ")
			part = substr($0, at)
			part = scale(scale(part, "mean = ", work), "max = ", work)
			$0 = substr($0, 1, at - 1) part
		}
		/per_s = .*clients = / { $0 = scale($0, "per_s = ", rate) }
		slots && / slots = 2,/ { sub(/ slots = 2,/, " slots = " slots ",") }
		{ print }
	' "$site" >"$dir/$1/cut-$1.toml"
}

cut_site short 0.125 4 ""
cut_site wide 1 1.5 8
