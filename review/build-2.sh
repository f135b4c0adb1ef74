#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/cases-2/main.rs
