# Wraps CMake. `make test` and `make demo` work on a fresh Debian machine.
BUILD ?= build
JOBS ?= $(shell nproc)
SANITIZER ?= thread
SHELL := /bin/bash

.PHONY: all deps build test demo bench fuzz sanitized format check-format lint proto check-proto clean

all: build

deps:
	@scripts/install-deps.sh

$(BUILD)/build.ninja: CMakeLists.txt | deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null

build: deps $(BUILD)/build.ninja
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@mapfile -t known < <(scripts/known-red.sh); \
	    ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS) "$${known[@]}"

demo: build
	@scripts/demo.sh $(BUILD)

bench: build
	@$(BUILD)/bin/policy_bench --benchmark_filter='-load_large'
	@$(BUILD)/bin/decision_bench
	@$(BUILD)/bin/control_bench --benchmark_filter='-nodes:340'
	@MEMORY=1 scripts/overhead.sh $(BUILD)
	@scripts/capacity.sh $(BUILD)

fuzz: deps
	@cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DBALSAMLOFT_FUZZ=ON > /dev/null
	@cmake --build build-fuzz -j $(JOBS) --target fuzzers

sanitized: deps
	@cmake -S . -B build-$(SANITIZER) -G Ninja -DBALSAMLOFT_SANITIZER=$(SANITIZER) > /dev/null
	@cmake --build build-$(SANITIZER) -j $(JOBS)

format:
	@git ls-files '*.cpp' '*.h' | grep -v 'pb\.' | xargs clang-format -i

check-format:
	@git ls-files '*.cpp' '*.h' | grep -v 'pb\.' | xargs clang-format --dry-run --Werror

lint: build
	@scripts/lint.sh $(BUILD)

# The generated files are committed; protoc is needed only to change a .proto file.
proto:
	@protoc -I src/libpeer --cpp_out=src/libpeer src/libpeer/peer.proto src/libpeer/entrynews.proto

check-proto:
	@scripts/check-proto.sh

clean:
	@rm -rf $(BUILD) build-fuzz build-thread build-address,undefined
