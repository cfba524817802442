#!/usr/bin/env bash
# Checks that the stand-ins of the cases load: they are Python and need only target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. exec python3 -c "import review.harness"
