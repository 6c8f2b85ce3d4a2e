#!/usr/bin/env bash
# Builds the programs of cases 6 to 10 into target/review-2/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = standins ] && continue
  rustc --edition 2024 -O -o "target/review-2/${name//_/-}" "$source"
done
