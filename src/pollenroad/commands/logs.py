"""`pollenroad logs`: put the log lines of one request together, and say the cause."""

import sys
from collections.abc import Iterator
from pathlib import Path

from pollenroad.operators.causes import cause_of, lines_of


def _read(files: tuple[str, ...]) -> Iterator[str]:
    for file in files:
        with Path(file).open(errors="replace") as stream:
            yield from stream


def run(request_id: str, *files: str) -> int:
    """Print the lines of one request from the logs of several daemons, and why it ended so.

    Args:
        request_id: The id that the caller sent.
        files: Logs of daemons, one structured line each; what stands before it is passed over.

    Returns:
        0 if the request was found, 1 if not, or a file cannot be read.
    """
    try:
        lines = lines_of(request_id, _read(files))
    except OSError as error:
        print(f"logs: {error.filename}: {error.strerror}", file=sys.stderr)
        return 1
    if not lines:
        print(f"logs: no line carries {request_id}", file=sys.stderr)
        return 1
    for line in lines:
        print(line.text())
    print(cause_of(lines))
    return 0
