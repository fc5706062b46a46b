#!/usr/bin/env bash
# Plays the case of claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x target/release/lockcroft ] || [ ! -x target/review-2/standin ]; then
    echo "build first: the deploy file's build, then review/build-2.sh"
    exit 2
fi
# Each proxy of the stand-in needs two descriptors.
ulimit -Sn 4096 2>/dev/null || true
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TMPDIR="$folder" timeout -k 5 118 target/review-2/standin all-come-back "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
