#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/harness review/harness/main.rs
