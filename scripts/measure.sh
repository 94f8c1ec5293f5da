#!/usr/bin/env bash
# Builds in release mode and runs one experiment; prints one JSON object a line.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --locked --release --quiet --workspace
exec target/release/measure "$@"
