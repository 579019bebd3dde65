#!/bin/bash
# Builds the stand-ins that the scripts of cases 4 and up start. They use the standard library alone, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stands/Cargo.toml --target-dir target/review-2
