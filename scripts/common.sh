# What the scripts that start processes share. To be sourced; sets `work`, a
# directory that goes with the script, and ends the processes in `pids`.

work=$(mktemp -d)
pids=()

cleanup() {
    [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

# Waits until a file has a line that matches, and prints what is matched.
wait_for() {
    local file=$1 pattern=$2 found
    for _ in $(seq 600); do
        found=$(grep -oE -m1 "$pattern" "$file" 2>/dev/null || true)
        [ -n "$found" ] && { printf '%s\n' "$found"; return; }
        sleep 0.05
    done
    echo "no \"$pattern\" in $file:" >&2
    cat "$file" >&2
    exit 1
}
