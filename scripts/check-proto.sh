#!/usr/bin/env bash
# Fails when the committed generated files do not match their .proto.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f src/libpeer/peer.proto ] || exit 0
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
protoc -I src/libpeer --cpp_out="$out" src/libpeer/peer.proto src/libpeer/entrynews.proto
for file in peer.pb.h peer.pb.cc entrynews.pb.h entrynews.pb.cc; do
    cmp "$out/$file" "src/libpeer/$file" || {
        echo "src/libpeer/$file does not match its .proto: run make proto" >&2
        exit 1
    }
done
