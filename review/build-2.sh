#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program of the standard library alone, without any dependency.
# Needs no network. Run it after the build of the deploy file; the cases start target/review-2/release/review-driver-2.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/driver-2/Cargo.toml --target-dir target/review-2
