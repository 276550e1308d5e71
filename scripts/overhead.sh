#!/usr/bin/env bash
# Measures the overhead of the daemon: runs the same completions against three fake engines
# directly and through one daemon. Absolute times depend on the machine; the meaningful results
# are the differences and ratios within one run.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${1:-build}/bin"
. scripts/common.sh

"$bin/fake_platform" > "$work/platform" 2>&1 & pids+=($!)
platform=$(wait_for "$work/platform" '127\.0\.0\.1:[0-9]+')
addresses=()
entries=
for range in 0 1 2; do
    "$bin/fake_engine" --model=m --slots=4096 --step_us=2000 --keep_log=false \
        --layer_begin=$((range * 16)) --layer_end=$((range * 16 + 16)) > "$work/e$range" 2>&1 &
    pids+=($!)
    addresses+=("$(wait_for "$work/e$range" '127\.0\.0\.1:[0-9]+')")
    entries+="${entries:+,}{\"name\":\"e$range\",\"address\":\"${addresses[$range]}\",\"domain\":\"d\",\"slots\":4096,\"model\":\"m\",\"version\":\"1\",\"layers\":[$((range * 16)),$((range * 16 + 16))]}"
done
digest=$(printf %s t | sha256sum | cut -d' ' -f1)
echo "{\"domains\":[{\"name\":\"d\"}],\"endpoints\":[$entries]}" > "$work/inventory.json"
echo "{\"models\":[{\"name\":\"m\",\"layers\":48}],\"teams\":[{\"name\":\"t\",\"share\":0.5,\"token_sha256\":\"$digest\"}]}" > "$work/rules.json"
"$bin/balsamloftd" --name=i --domain=d --platform="$platform" --listen=127.0.0.1:0 --log_level=warning \
    --admin_listen=127.0.0.1:0 --peer_listen=127.0.0.1:0 --operator_token_sha256="$digest" \
    --log_level=info 2> "$work/daemon" & daemon=$!
pids+=("$daemon")
callers=127.0.0.1:$(wait_for "$work/daemon" 'callers=[0-9]+' | cut -d= -f2)
admin=127.0.0.1:$(wait_for "$work/daemon" 'admin=[0-9]+' | cut -d= -f2)
export BALSAMLOFT_OPERATOR_TOKEN=t
"$bin/balsamloft" --admin="$admin" rules apply "$work/rules.json" > /dev/null
"$bin/balsamloft" --admin="$admin" inventory apply "$work/inventory.json" > /dev/null

cpu() { awk '{print $14 + $15}' "/proc/$daemon/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$daemon/status"; }
chain=$(IFS=,; echo "${addresses[*]}")
tokens=${TOKENS:-50}
for streams in 1 8 64 512; do
    requests=$((streams * 2 < 40 ? 40 : streams * 2))
    direct=$("$bin/load_tool" --engines="$chain" --streams="$streams" --requests="$requests" --tokens="$tokens")
    before=$(cpu)
    through=$("$bin/load_tool" --daemon="$callers" --token=t --streams="$streams" --requests="$requests" --tokens="$tokens")
    ticks=$(($(cpu) - before))
    python3 - "$direct" "$through" "$ticks" "$requests" "$tokens" <<'PY'
import json, os, sys
direct, through = json.loads(sys.argv[1]), json.loads(sys.argv[2])
ticks, requests, tokens = map(int, sys.argv[3:6])
seconds = ticks / os.sysconf("SC_CLK_TCK")
a, b = direct["median_us_per_token"], through["median_us_per_token"]
print(f"streams {through['streams']:4}: direct {a:7.0f} us/token, through {b:7.0f}, "
      f"added per hop {(b - a) / 3:6.0f} us, ratio {b / a:.3f}, "
      f"{through['tokens_per_s']:7.0f} tokens/s, daemon {1e6 * seconds / (requests * tokens):5.0f} us CPU/token, "
      f"failed {through['failed']}")
PY
done
if [ -n "${MEMORY:-}" ]; then
    for round in 10000 90000; do
        "$bin/load_tool" --daemon="$callers" --token=t --streams=256 --requests="$round" --tokens=1 > /dev/null
        echo "resident after $round more requests: $(resident) KB"
    done
fi
