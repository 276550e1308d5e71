#!/usr/bin/env bash
# Fails if a name of the platform's protocol occurs outside platform/ and deploy/.
# The names are taken from platform/ itself: each string literal there that contains a hyphen,
# an underscore, a slash or an inner capital.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(grep -ohE '"(/?[A-Za-z][A-Za-z0-9]*([-_/A-Z][A-Za-z0-9]*)+)"' platform/*.cpp platform/*.h \
    | grep -E '[a-z][A-Z]|[-_]|^"/' | grep -vE '^"[a-z]+\.h"$' | sort -u)
allowed='^"(Last-Event-Id|/order)"$'
found=0
while read -r name; do
    if printf '%s' "$name" | grep -qE "$allowed"; then
        continue
    fi
    if grep -rnF --include='*.cpp' --include='*.h' -- "$name" src testsuite; then
        found=1
    fi
done <<< "$names"
if grep -rnE 'X-Balsamloft|rows-tx|rows-get|rows-feed|kvTotal' src testsuite; then
    found=1
fi
[ "$found" -eq 0 ] || { echo "names of the platform's protocol occur outside platform/" >&2; exit 1; }
echo "platform names: $(printf '%s\n' "$names" | wc -l) checked, none outside platform/"
