#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. Before it: the build of the deploy file, and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
rig="$root/target/review/release/ironpaddle-review-rig"
if [ ! -x "$rig" ] || [ ! -x "$root/target/release/ironpaddle" ]; then
    echo "the case could not run: build first" >&2
    exit 2
fi
exec "$rig" removed "$root" "$here/record.txt"
