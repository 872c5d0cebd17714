#!/usr/bin/env bash
# Runs the scenarios that have shown a fault before (deploy/seeds.txt), each with its seed,
# and prints a line for each.
#   deploy/play-seeds.sh BENCH SITES [JOBS]
# BENCH is the users' bench program, SITES the folder with the deployments' files (those of
# the larger deployments are in ../grown), JOBS the number of concurrent runs (default 3).
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 sites=$2 jobs=${3:-3}

play() {
	local output seed=() site="$sites/$1.toml"
	[ -f "$site" ] || site="$sites/../grown/$1.toml"
	[ "$3" = - ] || seed=(--seed "$3")
	output=$("$bench" run "$site" "$2" "${seed[@]}" --why "deploy/seeds.txt: $1 $2 $3" 2>&1) || true
	printf '%-14s %-9s %-13s %s\n' "$1" "$2" "$3" "$(grep -m1 "^$2 " <<<"$output" | cut -c27- || true)"
	grep -E '^[A-Z]+ at |^fault' <<<"$output" | head -3 || true
}
export -f play
export bench sites
grep -v '^#' deploy/seeds.txt | sed 's, *|.*,,' | xargs -P "$jobs" -L1 bash -c 'play "$0" "$1" "$2"'
