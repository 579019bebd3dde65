#!/usr/bin/env bash
# Builds the stand-ins, clients and checks of the scripts beside it. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
