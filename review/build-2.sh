#!/bin/sh
# Builds the stand-ins and the drivers of review/6 to review/10, with the standard library alone, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for driver in review/stand-ins-2/case_*.rs; do
    name=$(basename "$driver" .rs)
    rustc -O --edition 2021 -o "target/review-2/$name" "$driver"
done
