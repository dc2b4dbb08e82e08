#!/bin/sh
# Runs the case once; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
review=$(dirname "$folder")
tmp=$(mktemp -d) || exit 2
[ -d "$review/classes" ] || exit 2
java -Xmx1g -cp "$review/classes" OneMessageCase "$(dirname "$review")" "$folder/record.txt" "$tmp" >/dev/null 2>"$tmp/errors" &
case=$!
trap 'kill $case 2>/dev/null' INT TERM
wait $case
status=$?
cat "$tmp/errors" >&2
rm -rf "$tmp"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
