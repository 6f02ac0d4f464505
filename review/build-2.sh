#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, without a network.
# The daemon itself comes from the build of the deploy file (deploy/build.sh).
# The stand-ins are Python files that need the standard library only, so they
# are only compiled, into a folder that isn't kept, to find errors early.
# The cases start none of the project's own stand-ins (standins/); those are
# checked in the same way.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/chiveroad || {
    echo "target/deps is missing: run sh deploy/build.sh first" >&2
    exit 2
}
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q standins review/lab2
for case in review/6 review/7 review/8 review/9 review/10; do
    if test -d "$case"; then
        python3 -m compileall -q "$case"
    fi
done
