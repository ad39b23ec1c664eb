#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They need the standard library only, and no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/probes/Cargo.toml --target-dir target/probes
