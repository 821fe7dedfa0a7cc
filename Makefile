# CI runs `make lint build test soak`; `make run` starts one backend with the configuration named by CONFIG.
CONFIG ?= $(RELAY_CONFIG)

.PHONY: all build test soak lint run demo

all: lint build test

build:
	cargo build --release --locked

test:
	.ci/test

soak: build
	.ci/soak

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	RELAY_CONFIG=$(CONFIG) target/release/plovershelf-server

demo: build
	target/release/plovershelf demo
