#!/bin/sh
# Puts the program and its run-time packages under target/deps.
set -eu
lock=deploy/requirements.txt
if ! cmp -s "$lock" target/installed.txt; then
    rm -rf target/deps
    python3 -m pip install --quiet --no-deps --target target/deps -r "$lock"
    cp "$lock" target/installed.txt
fi
rm -rf target/deps/chiveroad
cp -R src/chiveroad target/deps/chiveroad
find target/deps/chiveroad -name __pycache__ -prune -exec rm -rf {} +
# The processes can't write here, and would compile at every start.
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps/chiveroad
