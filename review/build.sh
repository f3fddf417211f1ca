#!/usr/bin/env bash
# Builds the programs that the scripts start beside the daemon: stand-ins that use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -A warnings -o "target/review/case-$number" "$case"
done
