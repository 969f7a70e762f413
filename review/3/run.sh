#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. With TROUBLE=0, the disruption is left out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/review/stand-ins/target/release/stand-ins"
[ -x "$program" ] && [ -x "$root/target/release/quillhub" ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec "$program" copy-before-hang "$root" "$here"
