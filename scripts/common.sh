# Shared by the scripts that start processes; to be sourced. Sets `work`, a temporary directory.
# On exit, removes it and terminates the processes in `pids`.

work=$(mktemp -d)
pids=()

cleanup() {
    [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

# Waits until a line of a file matches a pattern, and prints the match.
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
