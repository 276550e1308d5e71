#!/usr/bin/env bash
# Picks ten random failed requests from collected log lines and prints the cause that `balsamloft
# logs explain` gives for each. Exits with 1 if a request has no cause.
#
#     scripts/explain_ten.sh LINES [SEED] [BUILD]
set -euo pipefail
lines=$1
seed=${2:-1}
build=${3:-build}
ids=$(python3 - "$lines" "$seed" <<'PYTHON'
import json, random, sys
failed = []
for line in open(sys.argv[1]):
    try:
        entry = json.loads(line)
    except ValueError:
        continue
    if entry.get("part") == "request" and entry.get("outcome") in ("refused", "cut short") \
            and entry.get("status") not in (401, 404):
        failed.append(entry["request"])
random.seed(int(sys.argv[2]))
print("\n".join(random.sample(sorted(set(failed)), min(10, len(set(failed))))))
PYTHON
)
without=0
for id in $ids; do
    cause=$("$build/bin/balsamloft" logs explain "$id" < "$lines" | grep -m 1 '^cause:' || true)
    echo "$id  ${cause:-no cause}"
    [ -n "$cause" ] || without=$((without + 1))
done
echo "$without requests without a cause"
[ "$without" -eq 0 ]
