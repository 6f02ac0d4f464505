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
