#!/bin/sh
# Builds the program that runs the cases and holds all stand-ins. Standard library only; needs the toolchain and no
# network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/review-case review/stand-ins/main.rs
