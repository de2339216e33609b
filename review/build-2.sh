#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs the build of the deploy file before, and no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline
