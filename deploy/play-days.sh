#!/usr/bin/env bash
# Runs the scenarios in deploy/days ("days") on one deployment and prints a line for each.
#   deploy/play-days.sh BENCH SITE [JOBS] [DAY...]
# BENCH is the users' bench program, SITE the file of a deployment, JOBS the number of
# concurrent runs (default 4). Without DAY all scenarios run.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 jobs=${3:-4}
shift $(($# < 3 ? $# : 3))
days=("$@")
[ ${#days[@]} -gt 0 ] || for file in deploy/days/*.toml; do days+=("$(basename "$file" .toml)"); done

play() {
	local output
	output=$("$bench" run "$site" "deploy/days/$1.toml" --why "deploy/days: $1" 2>&1) || true
	printf '%-26s %s\n' "$1" "$(grep -m1 "^$1 " <<<"$output" | cut -c27- || true)"
	grep -E '^[A-Z]+ at |^fault' <<<"$output" | head -3 || true
}
export -f play
export bench site
printf '%s\n' "${days[@]}" | xargs -P "$jobs" -I{} bash -c 'play {}'
