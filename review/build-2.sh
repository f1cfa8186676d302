#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: one program without dependencies, target/review-2/cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand-in-2/cases.rs
