#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of this review start; the scripts' own ones need only python3.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --workspace --bins
