#!/usr/bin/env bash
# Upgrades gateways in turn, under load, from an earlier commit's program to the
# present one: scripts/upgrade.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/.."
commit="${1:?commit to upgrade from}"
dir="$(mktemp -d)"
trap 'git worktree remove --force "$dir/old"; rm -rf "$dir"' EXIT
git worktree add --quiet --detach "$dir/old" "$commit"
(cd "$dir/old" && go build -buildvcs=false -o "$dir/plumpitch" .)
PLUMPITCH_OLD="$dir/plumpitch" go test -count=1 -v -run '^TestUpgradeInTurn$' .
