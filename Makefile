# Commands of the project; see README.md.

.PHONY: prepare build try test bench capacity soak

prepare:
	@command -v cmake >/dev/null || { apt-get update -qq && apt-get install -y -qq cmake; }
	@command -v cargo-nextest >/dev/null || cargo install --locked cargo-nextest

build: prepare
	cargo build --workspace --bins

try: build
	cargo run --quiet --bin geraniumwinch-try

bench: prepare
	cargo run --quiet --release -p geraniumwinch-bench

capacity: prepare
	cargo build --release --workspace --bins
	./target/release/geraniumwinch-measure path
	./target/release/geraniumwinch-measure capacity

test: build
	cargo nextest run --workspace --no-fail-fast
