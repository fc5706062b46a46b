#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in standins platform; do
    rustc --edition 2021 -O -o "target/review/$name" "review/standins/$name.rs"
done
