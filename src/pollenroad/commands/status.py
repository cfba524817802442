"""`pollenroad status`: one table over daemons."""

import json as json_module
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass

from pollenroad.operators.operators import Reading, read_all

WATCH_INTERVAL_S = 1.0
"""Time between two tables of `--watch`, in seconds."""

_CLEAR_SCREEN = "\x1b[2J\x1b[H"
_COLUMNS = ("endpoint", "failure_domain", "state", "in_flight", "p99_ms", "version", "why")


@dataclass(frozen=True, slots=True)
class StatusRow:
    """One line of the table."""

    endpoint: str
    failure_domain: str
    state: str
    in_flight: str
    p99_ms: str
    version: str
    why: str


def _doubts(readings: list[Reading]) -> Counter:
    """Count, for each VM, the daemons that hold it to be dead or doubtful."""
    answered = (reading.data for reading in readings if reading.data)
    return Counter(
        vm for data in answered for vm in {*data["dead_vms"], *data["doubtful_vms"]} - {data["vm"]}
    )


def _unanswered(reading: Reading) -> StatusRow:
    why = f"the daemon at {reading.operator} gives {reading.failure}"
    return StatusRow(reading.operator, "-", "unreachable", "-", "-", "-", why)


def _row(reading: Reading, doubts: Counter, others: int) -> StatusRow:
    data = reading.data
    if data is None:
        return _unanswered(reading)
    state, why = data["state"], data["why"]
    doubting = doubts[data["vm"]]
    if doubting:
        state = "suspected"
        why = f"suspected: {doubting} of {others} other daemons do not hear it; it says {why}"
    return StatusRow(
        endpoint=data["endpoint"] or data["vm"],
        failure_domain=data["failure_domain"],
        state=state,
        in_flight=f"{data['in_flight']}/{data['bound']}",
        p99_ms="-" if data["p99_ms"] is None else f"{data['p99_ms']:g}",
        version=str(data["config_version"]),
        why=why,
    )


def _rows(readings: list[Reading]) -> list[StatusRow]:
    doubts = _doubts(readings)
    others = max(0, sum(reading.data is not None for reading in readings) - 1)
    rows = (_row(reading, doubts, others) for reading in readings)
    return sorted(rows, key=lambda row: (row.failure_domain, row.endpoint))


def _lines(rows: list[StatusRow]) -> Iterator[str]:
    table = [_COLUMNS, *(tuple(asdict(row).values()) for row in rows)]
    widths = [max(len(cells[i]) for cells in table) for i in range(len(_COLUMNS))]
    for cells in table:
        padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
        yield "  ".join(padded).rstrip()


def _show(operators: tuple[str, ...], as_json: bool) -> bool:
    readings = read_all(operators, "/status")
    rows = _rows(readings)
    if as_json:
        print(json_module.dumps([asdict(row) for row in rows]), flush=True)
    else:
        print("\n".join(_lines(rows)), flush=True)
    return all(reading.data is not None for reading in readings)


def run(*operators: str, json: bool = False, watch: bool = False) -> int:
    """Show every daemon's endpoint, its state and why, its load and its configuration.

    in_flight is requests at the server against the bound that the guard admits now; p99_ms is of
    the recent calls that came in through this daemon; version is that of its service's document.

    Args:
        operators: Operator addresses of the daemons, `HOST:PORT` each.
        json: Print one JSON array instead of a table.
        watch: Print again every second until interrupted.

    Returns:
        0 if every daemon answered, 1 if some did not or none was given.
    """
    if not operators:
        print("give at least one operator address, HOST:PORT", file=sys.stderr)
        return 1
    try:
        while watch:
            print("" if json else _CLEAR_SCREEN, end="")
            _show(operators, json)
            time.sleep(WATCH_INTERVAL_S)
    except KeyboardInterrupt:
        return 0
    return 0 if _show(operators, json) else 1
