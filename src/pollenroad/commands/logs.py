"""`pollenroad logs`: collect the log lines of one request and state the cause."""

import sys
from collections.abc import Iterator
from pathlib import Path

from pollenroad.operators.causes import describe_cause, find_lines


def _read(files: tuple[str, ...]) -> Iterator[str]:
    for file in files:
        with Path(file).open(errors="replace") as stream:
            yield from stream


def run(request_id: str, *files: str) -> int:
    """Print the lines of one request from the logs of several daemons, and the cause of its end.

    Args:
        request_id: The id that the caller sent.
        files: Logs of daemons; any text before the JSON object of a line is ignored.

    Returns:
        0 if the request was found, 1 if not or if a file cannot be read.
    """
    try:
        lines = find_lines(request_id, _read(files))
    except OSError as error:
        print(f"logs: {error.filename}: {error.strerror}", file=sys.stderr)
        return 1
    if not lines:
        print(f"logs: no line carries {request_id}", file=sys.stderr)
        return 1
    for line in lines:
        print(line.text())
    print(describe_cause(lines))
    return 0
