#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
# Does nothing if all are installed, so it is cheap to run each time.
set -euo pipefail

packages=(
    g++ cmake ninja-build make pkg-config curl python3
    clang-format clang-tidy clang libclang-rt-14-dev
    libboost1.81-dev libboost-log1.81-dev libboost-thread1.81-dev
    libboost-system1.81-dev libboost-json1.81-dev libboost-filesystem1.81-dev
    libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
    libgflags-dev libxxhash-dev libssl-dev zlib1g-dev
    catch2 libtrompeloeil-cpp-dev librapidcheck-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null | grep -qx installed; then
        missing+=("$package")
    fi
done
[ "${#missing[@]}" -eq 0 ] && exit 0

echo "installing: ${missing[*]}"
sudo_command=()
[ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
"${sudo_command[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
