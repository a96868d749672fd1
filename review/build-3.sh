#!/bin/sh
# Builds what the scripts of the third review start: the stand-ins, and for case 13 the version from
# which its upgrade begins, as the bench does with `production`; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
production=72ff1ff565e1d55c3f870797a904172ff2579245
tree=target/review-3/production
mkdir -p "$tree"
git archive "$production" Cargo.toml Cargo.lock README.md crates platform | tar -x -C "$tree"
exec cargo build --release --offline --locked -p cassiafield-platform \
    --manifest-path "$tree/Cargo.toml" --target-dir "$tree/target"
