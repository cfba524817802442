"""`pollenroad audit`: accepted and refused configuration of many daemons, ordered by time."""

import sys
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
from gevent.pool import Pool
from urllib3.exceptions import HTTPError

from pollenroad import strict_http
from pollenroad.relay.audit import AuditEntry, merge_trails, parse_trail

MAX_OPEN_REQUESTS = 64
"""Most daemons queried at the same time."""

REQUEST_TIMEOUT_S = 5.0
"""Timeout of the request to one daemon, in seconds."""


@dataclass(frozen=True, slots=True)
class _Trail:
    operator: str
    entries: tuple[AuditEntry, ...] = ()
    failure: str = ""


def _read_trail(operator: str) -> _Trail:
    try:
        answer = strict_http.get(f"http://{operator}/audit", REQUEST_TIMEOUT_S)
        if answer.status != 200:
            return _Trail(operator, failure=f"status {answer.status}")
        return _Trail(operator, tuple(parse_trail(answer.data)))
    except (HTTPError, msgspec.DecodeError) as error:
        return _Trail(operator, failure=str(error))


def _format_entry(entry: AuditEntry) -> Iterator[str]:
    timestamp = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.wall_time_s))
    fraction = f"{entry.wall_time_s % 1:.3f}"[1:]
    version = f" version {entry.version}" if entry.version else ""
    source = f" from {entry.source}" if entry.source else ""
    reason = f": {entry.reason}" if entry.reason else ""
    yield (
        f"{timestamp}{fraction}Z {entry.vm} {entry.action} {entry.subject}"
        f"{version}{source}{reason}"
    )
    yield from (f"    {sentence}" for sentence in entry.sentences)


def _filter_entries(
    entries: Iterable[AuditEntry], subject: str, action: str
) -> Iterator[AuditEntry]:
    for entry in entries:
        if subject in ("", entry.subject) and action in ("", entry.action):
            yield entry


def run(
    *operators: str, json: bool = False, subject: str = "", action: str = "", limit: int = 1000
) -> int:
    """Show what daemons accepted or refused and why, with version, source and time.

    Args:
        operators: Operator addresses of the daemons, `HOST:PORT` each.
        json: Print one JSON array instead of lines.
        subject: Only this document key or VM.
        action: Only accepted, refused, membership or startup.
        limit: Most entries shown; the newest are kept.

    Returns:
        0 if every daemon answered, 1 if some did not (they are listed) or none was given.
    """
    if not operators:
        print("give at least one operator address, HOST:PORT", file=sys.stderr)
        return 1
    trails = list(Pool(MAX_OPEN_REQUESTS).imap_unordered(_read_trail, operators))
    merged = merge_trails(trail.entries for trail in trails)
    selected = list(_filter_entries(merged, subject, action))[-limit:]
    if json:
        print(msgspec.json.encode(selected).decode())
    else:
        print("\n".join(line for entry in selected for line in _format_entry(entry)))
    failed = [trail for trail in trails if trail.failure]
    for trail in failed:
        print(f"{trail.operator}: {trail.failure}", file=sys.stderr)
    return 1 if failed else 0
