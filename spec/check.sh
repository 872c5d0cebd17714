#!/usr/bin/env bash
# Checks every configuration of the models with Spin. The correct design must satisfy its
# properties over the whole state space. In each faulty variant the check must find the
# violation that its line names, which shows that the properties can fail.
# Prints one line for each configuration, and exits non-zero if any result is unexpected.
#
#   bash spec/check.sh            all configurations, JOBS (4) at once
#   bash spec/check.sh claims     only the lines that match the pattern
set -euo pipefail
spec=$(cd "$(dirname "$0")" && pwd)
jobs=${JOBS:-4}
depth=1000000 # maximum depth of the search; reaching it fails the check

# A line is: expectation | model | defines | violated assertion. "holds" expects a
# complete search without errors. "breaks" and "reaches" expect the violation of an
# assertion that contains the given text.
configurations() {
	sed -e '/^[[:space:]]*\(#\|$\)/d' "$spec/configurations.txt"
}

# check_one builds and runs one configuration in a separate directory.
check_one() {
	local expectation model defines text dir
	IFS='|' read -r expectation model defines text <<<"$1"
	read -r expectation <<<"$expectation"
	read -r model <<<"$model"
	read -r defines <<<"$defines"
	read -r text <<<"$text"
	dir=$(mktemp -d "$work/XXXXXX")
	cd "$dir"
	# shellcheck disable=SC2086 # the defines are several words
	spin -a $defines "$spec/$model.pml" >spin.out 2>&1 || { report FAILED "spin failed: $(tail -1 spin.out)"; return 1; }
	gcc -O2 -w -DSAFETY -DNOFAIR -DMEMLIM=3000 -o pan pan.c
	local start=$SECONDS
	timeout 230 ./pan -E -n -m"$depth" >pan.out 2>&1 || true
	seconds=$((SECONDS - start))
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
	case $expectation in
	holds) check_holds ;;
	breaks | reaches) check_violates ;;
	*) report FAILED "unknown expectation"; return 1 ;;
	esac
}

report() {
	printf '%-7s %-8s %-82s %9s states %4ss  %s\n' "$1" "$model" "${defines:--}" "${states:-?}" "${seconds:-0}" "$2"
}

check_holds() {
	if ! grep -q 'errors: 0' pan.out; then
		report FAILED "$(grep -m1 '^pan:1:' pan.out || tail -1 pan.out)"
		return 1
	fi
	if grep -qE 'max search depth too small|Search not completed|reached -DMEMLIM' pan.out; then
		report FAILED "search not complete"
		return 1
	fi
	report ok "holds, search complete"
}

check_violates() {
	if ! grep '^pan:1: assertion violated' pan.out | grep -qF -- "$text"; then
		report FAILED "no violation of '$text': $(grep -m1 -E '^pan:1:|errors:' pan.out || tail -1 pan.out)"
		return 1
	fi
	report ok "$expectation '$text', as it must"
}

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

failed=0
running=0
while IFS= read -r line; do
	if ((running == jobs)); then
		wait -n || failed=1
		running=$((running - 1))
	fi
	(check_one "$line") &
	running=$((running + 1))
done < <(configurations | grep -E -- "${1:-.}")
while ((running > 0)); do
	wait -n || failed=1
	running=$((running - 1))
done
exit "$failed"
