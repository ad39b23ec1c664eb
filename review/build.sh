#!/bin/sh
# Builds every stand-in that the cases start; run it after the build of the deploy file, with no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
