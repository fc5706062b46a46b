#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. It needs the Rust tool chain only: no network and no package.
# The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
