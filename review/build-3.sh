#!/bin/sh
# Builds the stand-ins of the third review. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs
