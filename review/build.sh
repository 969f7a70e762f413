#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library only, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
exec cargo build --release --offline --locked
