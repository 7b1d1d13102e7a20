#!/bin/sh
# The stand-ins need the standard library only; compiling them shows that they are sound.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in review/standins-2/*.py review/[4-8]/*.py; do
    [ ! -f "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
