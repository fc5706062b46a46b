#!/usr/bin/env bash
# A quarter of the endpoints dies at once: does each joined proxy keep a line to pick?
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no endpoint dies.
# DRAW=random: the endpoints that die are drawn by chance; else they are those of whole tables, as many.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
record="$here/record.txt"
: >"$record"
standins=$PWD/target/review/standins
work=$(mktemp -d)
pids=()
finish() {
    # By their ids, and only those that this script started.
    for pid in "${pids[@]}"; do
        kill -KILL "$pid"
        wait "$pid"
    done 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
note() { echo "$("$standins" now) $*" >>"$record"; }
fail_setup() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }
[ -x "$standins" ] && [ -x target/review/platform ] && [ -x target/release/lockcroft ] || fail_setup "build first"

target/review/platform --work "$work" --record "$record" --trouble "${TROUBLE:-1}" --draw "${DRAW:-tables}" &
platform=$!; pids+=($platform)
for _ in $(seq 100); do
    [ -f "$work/config.json" ] && break
    sleep 0.1
done
[ -f "$work/config.json" ] || fail_setup "the platform's stand-in did not start"
value() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" "$work/config.json" | head -1; }
mkdir "$work/tmp"
LB_NAME=n1 LB_LISTEN=$(value listen) LB_DISCOVERY=$(value discovery) LB_CONFIG=$work/config.json TMPDIR=$work/tmp \
    /bin/sh -c "exec target/release/lockcroft platform" >"$work/pilot.log" 2>&1 &
pids+=($!)
wait "$platform"
result=$?
sed 's/^/pilot log: /' "$work/pilot.log" | grep -v 'proxy attached\|proxy detached' >>"$record"
exit "$result"
