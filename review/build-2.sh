#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10. It needs nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
