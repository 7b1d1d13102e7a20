#!/bin/sh
# Put what an instance runs on under target/deps, compiled to bytecode.
set -eu
deps=target/deps
if [ ! -f "$deps/.stamp" ] || [ deploy/requirements.txt -nt "$deps/.stamp" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --no-deps --target "$deps" \
        --requirement deploy/requirements.txt
    touch "$deps/.stamp"
fi
rm -rf "$deps/buckthornwall"
cp -r packages/buckthornwall/src/buckthornwall "$deps/"
find "$deps/buckthornwall" -name tests -type d -prune -exec rm -rf {} +
find "$deps/buckthornwall" -name __pycache__ -type d -prune -exec rm -rf {} +
python3 -m compileall -q "$deps"
