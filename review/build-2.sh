#!/bin/sh
# Builds the stand-ins of the second review (review/stand_ins_2) without a network. Run it after the build of the
# deploy file, which brings the crates that it uses.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/stand_ins_2/Cargo.toml --target-dir target/review-2
