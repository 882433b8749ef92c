#!/bin/sh
# Builds the stand-ins and checks of all cases, from the root or from anywhere. It needs no package but the standard library.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
CARGO_TARGET_DIR="$here/../target/review" cargo build --release --locked --offline --manifest-path "$here/rig/Cargo.toml"
