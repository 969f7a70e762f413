#!/usr/bin/env bash
# A second copy and a 503 stand in the places of the answers to two messages, the second of which has little time and is dropped.
# Status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/stand-ins-2/target/release/stand-ins-2
if [ ! -x "$program" ] || [ ! -x "$root/target/release/quillhub" ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
# The stand-in and the gateway share a process group, which ends with this script, however it ends.
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
group=
clean_up() {
    [ -n "$group" ] && kill -KILL -- "-$group" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap clean_up EXIT
trap 'exit 2' HUP INT TERM
set -m
"$program" dropped-call "$root" "$here" &
group=$!
set +m
wait "$group"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
