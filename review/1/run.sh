#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.
python3 -c "import review.harness" || exit 2
exec python3 review/1/case.py
