#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They use the standard library only, so that no network is
# needed.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --offline --locked
