#!/usr/bin/env bash
# Builds every stand-in that the scripts start. The program itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --offline --release -p standins --bin store --bin server --bin operator ||
    cargo build --locked --release -p standins --bin store --bin server --bin operator
