#!/bin/sh
# Builds the stand-ins and clients of the scripts of cases 11 to 15. They are
# Python without packages, so this checks that all of them compile.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX="$(mktemp -d)" || exit 2
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
for folder in harness3 11 12 13 14 15; do
    if [ -d "review/$folder" ]; then
        python3 -m compileall -q "review/$folder" || exit 1
    fi
done
