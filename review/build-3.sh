#!/bin/sh
# Builds the stand-ins that the scripts of the third review start; needs no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
