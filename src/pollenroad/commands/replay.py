"""`pollenroad replay`: replay recorded traces and check their expected outcomes."""

import sys
from collections.abc import Iterator
from pathlib import Path

from pollenroad.declarations.phrases import count
from pollenroad.operators.replay import replay
from pollenroad.traces import TraceError, read_trace


def _find_traces(path: Path) -> Iterator[Path]:
    if path.is_dir():
        yield from sorted(path.rglob("*.jsonl"))
    else:
        yield path


def _check_trace(path: Path) -> bool:
    try:
        result = replay(*read_trace(path))
    except TraceError as error:
        print(f"BAD    {path}: {error}")
        return False
    counts = f"{count(result.events, 'event')}, {count(result.outcomes, 'outcome')}"
    if result.differences:
        print(f"NOT MET {path}: {counts}: {' | '.join(result.differences)}")
        return False
    print(f"met    {path}: {counts}")
    return True


def run(*paths: str) -> int:
    """Replay traces and print one line for each.

    Args:
        paths: Traces (JSON Lines, see docs/TRACES.md), or directories of `*.jsonl` files.

    Returns:
        0 if every expected outcome is met, 1 if one is not or a trace is malformed.
    """
    traces = [trace for path in paths for trace in _find_traces(Path(path))]
    if not traces:
        print("replay: no trace was named or found", file=sys.stderr)
        return 1
    failed = [trace for trace in traces if not _check_trace(trace)]
    return 1 if failed else 0
