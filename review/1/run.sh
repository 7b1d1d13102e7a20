#!/bin/sh
# Exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# What was sent, answered and run is written to review/1/record.txt.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/1/case.py review/1/record.txt
