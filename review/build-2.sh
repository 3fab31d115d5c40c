#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start; needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked
