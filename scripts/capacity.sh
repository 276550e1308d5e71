#!/usr/bin/env bash
# Measures the cost of the control plane of real daemons: memory with a configuration of the
# target size, and processor time and sent bytes of idle instances.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${1:-build}/bin"
count=${COUNT:-8}
seconds=${SECONDS_MEASURED:-30}
. scripts/common.sh

python3 - "$work" <<'PY'
import hashlib, json, sys
work = sys.argv[1]
domains = [{"name": f"d{i}"} for i in range(6)]
endpoints = [{"name": f"engine-{i}", "address": f"10.1.{i // 250}.{i % 250 + 1}:9000",
              "domain": f"d{i % 6}", "slots": 64, "speed": 2, "model": f"model-{i % 32}",
              "version": "1", "layers": [0, 48]} for i in range(790)]
models = [{"name": f"model-{i}", "layers": 48, "weight_gb": 60} for i in range(32)]
teams = [{"name": f"team-{i}", "share": 0.002,
          "token_sha256": hashlib.sha256(f"team-{i}".encode()).hexdigest()} for i in range(390)]
json.dump({"domains": domains, "endpoints": endpoints}, open(work + "/inventory.json", "w"))
json.dump({"models": models, "teams": teams}, open(work + "/rules.json", "w"))
PY

"$bin/fake_platform" > "$work/platform" 2>&1 & pids+=($!)
platform=$(wait_for "$work/platform" '127\.0\.0\.1:[0-9]+')
digest=$(printf %s t | sha256sum | cut -d' ' -f1)
daemons=()
callers=()
admin=
seeds=
for i in $(seq "$count"); do
    "$bin/balsamloftd" --name="i$i" --domain="d$((i % 6))" --platform="$platform" --listen=127.0.0.1:0 \
        --admin_listen=127.0.0.1:0 --peer_listen=127.0.0.1:0 --seeds="$seeds" \
        --operator_token_sha256="$digest" 2> "$work/i$i" & pids+=($!)
    daemons+=($!)
    callers+=("127.0.0.1:$(wait_for "$work/i$i" 'callers=[0-9]+' | cut -d= -f2)")
    seeds=127.0.0.1:$(wait_for "$work/i$i" 'peers=[0-9]+' | cut -d= -f2)
    admin=${admin:-127.0.0.1:$(wait_for "$work/i$i" 'admin=[0-9]+' | cut -d= -f2)}
done
resident() { awk '/VmRSS/ {print $2}' "/proc/${daemons[1]}/status"; }
ticks() { for pid in "${daemons[@]}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done | paste -sd+ | python3 -c "print(eval(input()))"; }
bytes() {
    for caller in "${callers[@]}"; do
        curl -s "http://$caller/metrics" | sed -n 's/^balsamloft_peer_bytes_sent_total //p'
    done | paste -sd+ | python3 -c "print(eval(input()))"
}
echo "resident without a configuration: $(resident) KB"
export BALSAMLOFT_OPERATOR_TOKEN=t
"$bin/balsamloft" --admin="$admin" rules apply "$work/rules.json" > /dev/null
"$bin/balsamloft" --admin="$admin" inventory apply "$work/inventory.json" > /dev/null
for caller in "${callers[@]}"; do
    for _ in $(seq 600); do
        curl -s "http://$caller/metrics" | grep -qx 'balsamloft_config_version 2' && break
        sleep 0.1
    done
done
echo "resident with 790 endpoints, 390 teams, 32 models: $(resident) KB"
before_ticks=$(ticks)
before_bytes=$(bytes)
sleep "$seconds"
after_bytes=$(bytes)
after_ticks=$(ticks)
python3 - "$before_ticks" "$after_ticks" "$before_bytes" "$after_bytes" "$count" "$seconds" <<'PY'
import os, sys
t0, t1, b0, b1, count, seconds = map(float, sys.argv[1:])
cpu = (t1 - t0) / os.sysconf("SC_CLK_TCK") / count / seconds
print(f"idle: {100 * cpu:.3f} % of a core and {(b1 - b0) / count / seconds:.0f} bytes/s sent to peers, per instance")
PY
