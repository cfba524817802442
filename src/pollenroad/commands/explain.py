"""`pollenroad explain`: what happened to one request, from the daemons' recent records."""

import json as json_module
import sys
import time
from collections.abc import Iterable, Iterator
from urllib.parse import quote

from pollenroad.operators.operator_ports import read_all

_TEXT_BY_ROLE = {
    "first": "first attempt",
    "retry": "retry",
    "hedge": "second attempt beside a late one",
}
_TEXT_BY_SELECTION = {
    "local": "expected to answer soonest, in the entry's failure domain",
    "spill": "expected to answer soonest, in another failure domain",
    "last": "the best of those left, though it takes no new work",
}


def _collect_records(request_id: str, operators: Iterable[str]) -> tuple[list[dict], list[str]]:
    """Return the records of all daemons, ordered by time, and the failed daemons with reasons."""
    responses = read_all(operators, f"/recent/{quote(request_id, safe='')}")
    found = [
        {"vm": response.data["vm"], **record}
        for response in responses
        if response.data
        for record in response.data["records"]
    ]
    failed = [f"{r.operator}: {r.failure}" for r in responses if r.data is None]
    return sorted(found, key=lambda record: record["time"]), failed


def _describe_selection(text: str) -> str:
    role, _, selection = text.partition(":")
    parts = (_TEXT_BY_ROLE.get(role, role), _TEXT_BY_SELECTION.get(selection, selection))
    return "; ".join(part for part in parts if part)


def _describe_record(record: dict) -> str:
    fields = record["fields"]
    match record["event"]:
        case "attempt_sent":
            return (
                f"attempt {fields['number']} went to {fields['endpoint']} "
                f"({_describe_selection(fields['why'])})"
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
    details = ", ".join(f"{name}={value}" for name, value in fields.items() if name != "request_id")
    return f"{record['event']}: {details}"


def _format_records(records: list[dict]) -> Iterator[str]:
    for record in records:
        timestamp = time.strftime("%H:%M:%S", time.gmtime(record["time"]))
        fraction = f"{record['time'] % 1:.3f}"[1:]
        yield f"{timestamp}{fraction}Z {record['vm']}: {_describe_record(record)}"


def run(request_id: str, *operators: str, json: bool = False) -> int:
    """Describe what happened to one request: endpoint, reason, verdict and time of each attempt.

    Daemons keep a bounded number of recent records, so old requests are no longer known.

    Args:
        request_id: The request id, from the answer's header `Pollenroad-Request-Id`.
        operators: Operator addresses of the daemons to query, `HOST:PORT` each.
        json: Print the records as one JSON array.

    Returns:
        0 if there is a record of the request, 1 if not.
    """
    if not operators:
        print("give at least one operator address, HOST:PORT", file=sys.stderr)
        return 1
    records, failed = _collect_records(request_id, operators)
    for failure in failed:
        print(failure, file=sys.stderr)
    if json:
        print(json_module.dumps(records))
    elif records:
        print("\n".join(_format_records(records)))
    else:
        print(f"no daemon that answered remembers request {request_id}", file=sys.stderr)
    return 0 if records else 1
