#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, without a network. The project's own program is built
# by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
cargo build --release --offline --locked --target-dir target
