#!/bin/sh
# Plays one case: run-case.sh CASE RECORD. Ends what the stand-in left behind if it was itself stopped.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/.."
for program in target/release/controller target/release/router target/probes/release/probes; do
    [ -x "$program" ] || { echo "$program is missing: build as the deploy file says, then review/build-2.sh" >&2; exit 2; }
done
TMPDIR=$(mktemp -d) || exit 2
PROBE_PIDS=$TMPDIR/pids
export TMPDIR PROBE_PIDS
: >"$PROBE_PIDS"
probe=
finish() {
    [ -n "$probe" ] && kill -KILL "$probe" 2>/dev/null
    while read -r pid; do
        case "$(readlink "/proc/$pid/exe" 2>/dev/null)" in
            */target/release/controller | */target/release/router) kill -KILL "$pid" 2>/dev/null ;;
        esac
    done <"$PROBE_PIDS"
    rm -rf "$TMPDIR"
}
trap 'finish; exit 2' INT TERM HUP
target/probes/release/probes "$1" "$2" &
probe=$!
wait "$probe"
code=$?
probe=
finish
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
