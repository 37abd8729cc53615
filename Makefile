# The project's commands; CONTRIBUTING.md says more.

.PHONY: demo test tools build

# The nng library is built with cmake, which a fresh machine may lack.
tools:
	@command -v cmake >/dev/null || (apt-get update -qq && apt-get install -y -qq cmake)

build: tools
	cargo build --release --workspace

demo: build
	target/release/zinnia-lab site
	target/release/zinnia-lab demo

test: tools
	cargo build --workspace --bins
	cargo test --workspace
