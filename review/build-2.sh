#!/usr/bin/env bash
# Builds what the scripts of the second review start: the daemons' packages, and the stand-ins.
set -eu
cd "$(dirname "$0")/.."
bash -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
python3 -m py_compile review/harness_2.py tests/users/*.py
