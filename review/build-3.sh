#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. All are Python, so that building
# them is compiling them; the packages that they import come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q tests/__init__.py tests/users review/harness_3.py review/1[1-5]
