"""`pollenroad explain`: what happened to one request, from the daemons' recent memory."""

import json as json_module
import sys
import time
from collections.abc import Iterable, Iterator
from urllib.parse import quote

from pollenroad.operators.operators import read_all

_WHY = {
    "first": "first attempt",
    "retry": "retry",
    "hedge": "second attempt beside a late one",
}
_CHOICES = {
    "local": "expected to answer soonest, in the entry's failure domain",
    "spill": "expected to answer soonest, in another failure domain",
    "last": "the best of those left, though it takes no new work",
}


def _records(request_id: str, operators: Iterable[str]) -> tuple[list[dict], list[str]]:
    """Return the records of all daemons in order of time, and who failed to answer."""
    readings = read_all(operators, f"/recent/{quote(request_id, safe='')}")
    found = [
        {"vm": reading.data["vm"], **record}
        for reading in readings
        if reading.data
        for record in reading.data["records"]
    ]
    failed = [f"{r.operator}: {r.failure}" for r in readings if r.data is None]
    return sorted(found, key=lambda record: record["time"]), failed


def _why(text: str) -> str:
    role, _, choice = text.partition(":")
    parts = (_WHY.get(role, role), _CHOICES.get(choice, choice))
    return "; ".join(part for part in parts if part)


def _sentence(record: dict) -> str:
    fields = record["fields"]
    match record["event"]:
        case "attempt_sent":
            return (
                f"attempt {fields['number']} went to {fields['endpoint']} ({_why(fields['why'])})"
            )
        case "attempt_ended":
            reason = f", {fields['reason']}" if fields["reason"] else ""
            return (
                f"the attempt at {fields['endpoint']} ended after {fields['ms']:g} ms: "
                f"{fields['verdict']}{reason}"
            )
        case "attempt_refused":
            return f"the guard refused the attempt, which did not run: {fields['reason']}"
        case "call_answered":
            reason = f", {fields['reason']}" if fields["reason"] else ""
            count = fields["attempts"]
            attempts = "1 attempt" if count == 1 else f"{count} attempts"
            return (
                f"the caller was answered after {fields['ms']:g} ms and {attempts}: "
                f"{fields['verdict']}{reason}"
            )
    rest = ", ".join(f"{name}={value}" for name, value in fields.items() if name != "request_id")
    return f"{record['event']}: {rest}"


def _lines(records: list[dict]) -> Iterator[str]:
    for record in records:
        stamp = time.strftime("%H:%M:%S", time.gmtime(record["time"]))
        fraction = f"{record['time'] % 1:.3f}"[1:]
        yield f"{stamp}{fraction}Z {record['vm']}: {_sentence(record)}"


def run(request_id: str, *operators: str, json: bool = False) -> int:
    """Tell what happened to one request: each attempt, where, why there, its verdict and time.

    Daemons remember a bounded number of recent events, so that an old request is forgotten.

    Args:
        request_id: The request id, from the answer's header `Pollenroad-Request-Id`.
        operators: Operator addresses of the daemons to ask, `HOST:PORT` each.
        json: Print the records as one JSON array.

    Returns:
        0 if something is known of the request, 1 if not.
    """
    if not operators:
        print("give at least one operator address, HOST:PORT", file=sys.stderr)
        return 1
    records, failed = _records(request_id, operators)
    for failure in failed:
        print(failure, file=sys.stderr)
    if json:
        print(json_module.dumps(records))
    elif records:
        print("\n".join(_lines(records)))
    else:
        print(f"no daemon that answered remembers request {request_id}", file=sys.stderr)
    return 0 if records else 1
