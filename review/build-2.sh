#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand_ins review/stand_ins_2/main.rs
