#!/bin/sh
# Builds the stand-ins that the cases start, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand_ins review/stand_ins/main.rs
