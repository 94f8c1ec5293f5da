#!/usr/bin/env bash
# Builds the program of the cases 6 to 10 with the compiler alone: it needs no library and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/cases-2/main.rs
