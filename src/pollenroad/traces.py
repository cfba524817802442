"""Traces of one daemon's cores in JSON Lines: recorded events and expected outcomes.

The first line is the header; each further line is an event or an outcome. An outcome is checked at
its place in the trace, against everything that happened before it. docs/TRACES.md describes the
format.
"""

import inspect
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from pollenroad import boundary
from pollenroad.boundary import Event, PlatformFailed
from pollenroad.exceptions import PollenroadError

TRACE_VERSION = 1
"""Latest version of the trace format."""

_EVENT_BY_NAME = {kind.__name__: kind for kind in Event.__args__}
_REQUEST_BY_NAME = {kind.__name__: kind for kind in boundary.PlatformRequest.__args__}


class TraceError(PollenroadError):
    """A trace is malformed."""


class Header(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """First line: the daemon whose cores were traced, and the arguments to create them."""

    trace: Annotated[int, Meta(ge=1, le=TRACE_VERSION)]
    """Version of the trace format."""
    about: str = ""
    """Description of the trace in one sentence."""
    vm: str
    address: str
    failure_domain: str
    service: str
    incarnation: str
    """Prefix of attempt ids; also the seed of the cores' random numbers."""
    relay_incarnation: int = 1
    seeds: tuple[str, ...] = ()
    fleet_hint: int = 11_000
    wall_offset_s: float = 0.0
    start: float
    """Monotonic time at which the cores were created, in seconds."""
    ticks: bool = False
    """Whether the trace omits ticks; the replay then generates each one when it is due."""


class EventLine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One event of `pollenroad.boundary`."""

    at: float
    """Monotonic time in seconds."""
    event: str
    """Name of the event's class."""
    fields: msgspec.Raw = msgspec.Raw(b"{}")


class Outcome(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="outcome"
):
    """Base class of expected outcomes."""


class Answered(Outcome, tag="answered"):
    """A call was answered exactly once, with this answer."""

    call_id: str
    verdict: Literal["ran", "not-run", "unknown"]
    reason: str | None = None
    """Reason code; None for any."""
    body: str | None = None
    """Complete body of the answer as text; None for any."""


class Unanswered(Outcome, tag="unanswered"):
    """A call has not been answered yet."""

    call_id: str


class Runs(Outcome, tag="runs"):
    """An attempt was sent to the server `count` times."""

    attempt_id: str
    count: int


class Refused(Outcome, tag="refused"):
    """The guard refused an attempt without running it."""

    attempt_id: str
    reason: str


class Attempts(Outcome, tag="attempts"):
    """The entry made `count` attempts for a request, or sent `count` attempts to one peer."""

    count: int
    request_id: str = ""
    peer: str = ""


class Sent(Outcome, tag="sent"):
    """`count` messages of one type were sent, or at most `count`."""

    message: str
    """Tag of the message, such as `leaving` or `load`."""
    count: int
    at_most: bool = False


class Cancelled(Outcome, tag="cancelled"):
    """An exchange with the server was cancelled `count` times."""

    attempt_id: str
    count: int


class InForce(Outcome, tag="in-force"):
    """A version of a document is in force; 0 for none."""

    key: str
    version: int


class InFlight(Outcome, tag="in-flight"):
    """At no time were more than `at_most` requests in flight at the server."""

    at_most: int


StatedOutcome = (
    Answered | Unanswered | Runs | Refused | Attempts | Sent | Cancelled | InForce | InFlight
)

_HEADER = msgspec.json.Decoder(Header)
_EVENT = msgspec.json.Decoder(EventLine)
_OUTCOME = msgspec.json.Decoder(StatedOutcome)


def encode_event(event: Event, now: float) -> bytes:
    """Return the trace line of an event, without the line feed."""
    fields: object = event
    if isinstance(event, PlatformFailed):
        name = type(event.request).__name__
        fields = {"reason": event.reason, "request": name, "asked": event.request}
    raw = msgspec.Raw(msgspec.json.encode(fields))
    return msgspec.json.encode(EventLine(now, type(event).__name__, raw))


def decode_event(line: EventLine) -> Event:
    """Return the event that a trace line describes.

    Raises:
        TraceError: If the name or the fields do not match an event class.
    """
    event_type = _EVENT_BY_NAME.get(line.event)
    if event_type is None:
        raise TraceError(f"unknown event {line.event!r}")
    try:
        if event_type is PlatformFailed:
            return _decode_failure(msgspec.json.decode(line.fields))
        return msgspec.json.decode(line.fields, type=event_type)
    except (msgspec.DecodeError, KeyError, TypeError) as error:
        raise TraceError(f"{line.event}: {error}") from error


def _decode_failure(fields: dict) -> PlatformFailed:
    request_type = _REQUEST_BY_NAME[fields["request"]]
    known_names = inspect.signature(request_type).parameters
    arguments = {name: value for name, value in fields["asked"].items() if name in known_names}
    return PlatformFailed(request_type(**arguments), fields["reason"])


def _decode_line(line: bytes) -> EventLine | StatedOutcome:
    return _OUTCOME.decode(line) if b'"outcome"' in line[:12] else _EVENT.decode(line)


def read_trace(path: Path) -> tuple[Header, Iterator[EventLine | StatedOutcome]]:
    """Read a trace file.

    Returns:
        The header and an iterator over the further lines, in file order.

    Raises:
        TraceError: If the file cannot be read or a line is malformed; names the file and the line.
    """
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise TraceError(f"{path}: cannot be read: {error.strerror}") from error
    if not lines:
        raise TraceError(f"{path}: empty")
    try:
        header = _HEADER.decode(lines[0])
    except msgspec.DecodeError as error:
        raise TraceError(f"{path}:1: {error}") from error
    return header, _decode_lines(path, lines[1:])


def _decode_lines(path: Path, lines: list[bytes]) -> Iterator[EventLine | StatedOutcome]:
    for number, line in enumerate(lines, 2):
        try:
            yield _decode_line(line)
        except msgspec.DecodeError as error:
            raise TraceError(f"{path}:{number}: {error}") from error
