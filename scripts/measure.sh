#!/usr/bin/env bash
# Builds in release mode and runs one experiment, which prints its figures as one JSON object per line.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --locked --release --quiet --workspace
exec target/release/measure "$@"
