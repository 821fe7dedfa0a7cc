#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/standins/case*.rs; do
    rustc --edition 2021 -O -o "target/review/$(basename "$case" .rs)" "$case"
done
