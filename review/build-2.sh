#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start, after the build of
# the deploy file. They are Python and need no compilation: each is loaded once.
set -eu
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root"
PYTHONPATH="$root/target/deps:$root/tests:$root/scripts:$root/review/rig2"
export PYTHONPATH
exec python3 -S -B -c "import quota, relay, rig, soak.upstreams"
