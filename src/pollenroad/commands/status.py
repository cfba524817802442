"""`pollenroad status`: show the state of many daemons in one table."""

import json as json_module
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass

from pollenroad.operators.operator_ports import DaemonResponse, read_all

WATCH_INTERVAL_S = 1.0
"""Interval between two tables of `--watch`, in seconds."""

_CLEAR_SCREEN = "\x1b[2J\x1b[H"
_COLUMNS = ("endpoint", "failure_domain", "state", "in_flight", "p99_ms", "version", "why")


@dataclass(frozen=True, slots=True)
class StatusRow:
    """One row of the table, as text."""

    endpoint: str
    failure_domain: str
    state: str
    in_flight: str
    p99_ms: str
    version: str
    why: str


def _count_suspicions(responses: list[DaemonResponse]) -> Counter:
    """Count, for each VM, the other daemons that list it as dead or doubtful."""
    answered = (response.data for response in responses if response.data)
    return Counter(
        vm for data in answered for vm in {*data["dead_vms"], *data["doubtful_vms"]} - {data["vm"]}
    )


def _unreachable_row(response: DaemonResponse) -> StatusRow:
    why = f"the daemon at {response.operator} gives {response.failure}"
    return StatusRow(response.operator, "-", "unreachable", "-", "-", "-", why)


def _make_row(response: DaemonResponse, suspicions: Counter, others: int) -> StatusRow:
    data = response.data
    if data is None:
        return _unreachable_row(response)
    state, why = data["state"], data["why"]
    suspecting = suspicions[data["vm"]]
    if suspecting:
        state = "suspected"
        why = f"suspected: {suspecting} of {others} other daemons do not hear it; it says {why}"
    return StatusRow(
        endpoint=data["endpoint"] or data["vm"],
        failure_domain=data["failure_domain"],
        state=state,
        in_flight=f"{data['in_flight']}/{data['bound']}",
        p99_ms="-" if data["p99_ms"] is None else f"{data['p99_ms']:g}",
        version=str(data["config_version"]),
        why=why,
    )


def _make_rows(responses: list[DaemonResponse]) -> list[StatusRow]:
    suspicions = _count_suspicions(responses)
    others = max(0, sum(response.data is not None for response in responses) - 1)
    rows = (_make_row(response, suspicions, others) for response in responses)
    return sorted(rows, key=lambda row: (row.failure_domain, row.endpoint))


def _format_rows(rows: list[StatusRow]) -> Iterator[str]:
    table = [_COLUMNS, *(tuple(asdict(row).values()) for row in rows)]
    widths = [max(len(cells[i]) for cells in table) for i in range(len(_COLUMNS))]
    for cells in table:
        padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
        yield "  ".join(padded).rstrip()


def _show(operators: tuple[str, ...], as_json: bool) -> bool:
    responses = read_all(operators, "/status")
    rows = _make_rows(responses)
    if as_json:
        print(json_module.dumps([asdict(row) for row in rows]), flush=True)
    else:
        print("\n".join(_format_rows(rows)), flush=True)
    return all(response.data is not None for response in responses)


def run(*operators: str, json: bool = False, watch: bool = False) -> int:
    """Show every daemon's endpoint, its state and why, its load and its configuration.

    in_flight is the number of requests at the server and the bound of its guard; p99_ms is for the
    recent calls that entered through this daemon; version is that of its service's document.

    Args:
        operators: Operator addresses of the daemons, `HOST:PORT` each.
        json: Print one JSON array instead of a table.
        watch: Repeat every second until interrupted.

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
