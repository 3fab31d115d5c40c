#!/bin/sh
# Builds the stand-ins of the cases, without a network, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=../../target/review cargo build --release --offline --locked
