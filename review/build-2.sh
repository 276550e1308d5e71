#!/usr/bin/env bash
# Prepares what the scripts of the second review start: the entry by the command of the deploy file,
# and the stand-ins, which are Python programs without dependencies and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 - review/common-2/standins.py review/4/run.py review/5/run.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
if [ ! -x target/bin/balsamloft-entry ]; then
    bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
