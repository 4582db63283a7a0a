#!/bin/sh
# Checks each model in this folder exhaustively; prints one line for each.
set -eu
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for model in *.pml; do
	[ -e "$model" ] || continue
	cp "$model" "$work/"
	(cd "$work" && spin -a "$model" && gcc -O2 -w -DVECTORSZ=4096 -o checker pan.c)
	(cd "$work" && ./checker -m200000 >"$model.out" 2>&1) || { cat "$work/$model.out"; exit 1; }
	grep -q 'errors: 0' "$work/$model.out" || { cat "$work/$model.out"; exit 1; }
	echo "$model: $(grep 'errors: 0' "$work/$model.out")"
done
