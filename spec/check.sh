#!/bin/sh
# Checks the models in this folder exhaustively; prints one line for each build of a model.
#
# A model can list its builds in lines of a comment: "check: DEFINES ; OPTIONS" for a build that must pass, and
# "fails: DEFINES ; OPTIONS" for a build without one mechanism of the protocol, which must find an error. A model without
# such lines is built once and must pass.
set -eu
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# run WANT MODEL DEFINES OPTIONS builds and runs a model; WANT is check or fails.
run() {
	# Builds that must fail end early, so that compiling them with optimisation would take longer than running them.
	if [ "$1" = check ]; then level=-O1; else level=-O0; fi
	(cd "$work" && spin $3 -a "$2" >/dev/null && gcc "$level" -w -DVECTORSZ=4096 -DMEMLIM=2000 -o checker pan.c)
	status=0
	(cd "$work" && ./checker $4 >output 2>&1) || status=$?
	# A search that ran out of memory or depth says nothing about the states that it did not reach.
	if [ "$status" != 0 ] || ! grep -q 'errors: ' "$work/output" ||
		{ [ "$1" = check ] && grep -Eq 'Search not completed|max search depth too small' "$work/output"; }; then
		cat "$work/output"
		echo "$2 $3: the search did not complete"
		exit 1
	fi
	if grep -q 'errors: 0' "$work/output"; then result=check; else result=fails; fi
	if [ "$result" != "$1" ]; then
		cat "$work/output"
		echo "$2 $3: expected: $1, found: $result"
		exit 1
	fi
	echo "$2${3:+ $3}: $(grep 'errors: ' "$work/output")," \
		"$(grep 'states, stored' "$work/output" | tr -s ' ')," \
		"$(grep -m 1 -E 'violated|acceptance cycle' "$work/output" || echo "no violation")"
}

for model in *.pml; do
	[ -e "$model" ] || continue
	cp "$model" "$work/"
	sed -n 's/^ \* \(check\|fails\): *\(.*\)$/\1;\2/p' "$model" >"$work/builds"
	[ -s "$work/builds" ] || echo "check; ; -m200000" >"$work/builds"
	while IFS=';' read -r want defines options; do
		run "$want" "$model" "$(echo $defines)" "$options"
	done <"$work/builds"
done
