#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --offline
