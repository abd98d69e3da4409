# Shortcuts for the CMake build and the scripts. See README.md.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build check unit demo bench capacity soak mutants format lint sanitize clean

all: build

deps:
	@bash .ci/deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

check: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

unit: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4 -LE system

demo: build
	@bash examples/demo.sh $(BUILD)/bin

bench: build
	@bash tests/bench/run.sh $(BUILD)/bin

capacity: build
	@bash tests/bench/capacity.sh $(BUILD)/bin

soak: build
	@bash tests/bench/soak.sh $(BUILD)/bin $(SEED) $(SECONDS)

mutants: deps
	@bash tests/mutants.sh

format: deps
	@bash .ci/format

lint: build
	@bash .ci/lint $(BUILD)

# Runs the unit tests with the sanitizers address,undefined and then thread.
sanitize: deps
	@bash .ci/sanitize

clean:
	rm -rf build build-*
