#!/bin/sh
# Builds the stand-ins of the scripts, with the toolchain alone and without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review-cases review/standin/main.rs
