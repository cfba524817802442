"""Requests of one caller connection, and the encoding of their answers."""

import io
import math
import re
import time
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from pollenroad.boundary import AnswerCall
from pollenroad.headers import encode_fields, end_to_end
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.memory.account import SMALL_MESSAGE_BYTES, message_bytes
from pollenroad.proxy.memory.space import Grant
from pollenroad.proxy.quotas.outcome import OVER_QUOTA, UNDECIDED
from pollenroad.verdicts import Verdict

DEFAULT_DEADLINE_S = math.inf
"""Deadline of a request without a valid deadline field, in seconds: its route's timeout alone ends
it."""

MIN_PROGRESS_BYTES = 1_024
"""Bytes that must arrive in each `header_timeout` while a body is read: a caller that sends single
bytes holds memory for hours."""

MIN_LEFT_S = 0.001
"""Least that is left of a deadline, in seconds; the entry refuses what cannot be served in it."""

MIN_COUNTED_WAIT_S = 0.01
"""Shortest wait for space that counts, in seconds; most requests do not wait."""

MIN_UPLOAD_S = 3.0
"""Time for which a long body may arrive at any rate while others wait for space, in seconds."""

MIN_UPLOAD_BYTES_PER_S = 65_536
"""Rate that it must have reached then, in bytes per second: a tenth of the slowest link. Callers
that announce a long body and send a byte now and then would otherwise hold all space for hours."""

MAX_OVERDUE_READS = 8
"""Reads after the time limit, of bytes that may have been waiting while this process was paused."""

STATUS_BY_REASON = {
    "no-route": 404,
    "no-key": 401,
    "unknown-key": 401,
    OVER_QUOTA: 429,
    UNDECIDED: 429,
    "body-too-large": 413,
    "malformed": 400,
    "header-timeout": 408,
}
"""HTTP status of a refusal by reason; 503 for other reasons."""

CHALLENGE = "ApiKey"
"""Value of `WWW-Authenticate`, which a 401 must have (RFC 9110, section 15.5.2)."""

_QUOTED_OCTETS = re.compile(r"""\b(?:bytearray\()?b['"]""")
"""Start of the representation of octets in an error message of h11."""


@dataclass(slots=True)
class Exchange:
    """A request of a connection, and its answer once it is known."""

    call_id: str
    connection: h11.Connection
    request_id: str
    is_head: bool = False
    """Whether the request was HEAD, whose answer has no body."""
    answer: AnswerCall | None = None
    answered_at: float = 0.0
    """When the answer was known, in monotonic seconds."""
    leftover_bytes: int = 0
    """Bytes of later requests that its parser holds as well."""

    @property
    def unwritten_bytes(self) -> int:
        """Bytes of the response that waits to be written, with its head."""
        response = self.answer and self.answer.response
        return message_bytes(response) if response else 0


@dataclass(slots=True)
class PartialRequest:
    """A request that has not been received completely."""

    connection: h11.Connection
    head: h11.Request | None = None
    grant: Grant | None = None
    """Space for the body."""
    body_bytes: int = 0
    granted_at: float = 0.0
    """When the space was granted, in monotonic seconds."""
    retry_after_s: float = 0.0
    """When there is likely to be space for the body, if there was none, in seconds."""
    waited_s: float = 0.0
    """Time for which the request waited for space, in seconds."""
    has_bytes: bool = False
    _body: io.BytesIO = field(default_factory=io.BytesIO)
    _window_end: float = 0.0
    _window_bytes: int = 0
    _overdue_reads: int = 0

    def left_s(self, timeout_s: float) -> float | None:
        """Return how long to wait for more bytes, in seconds, or None if the caller is too slow.

        The head must be complete within the timeout, and a body must grow by `MIN_PROGRESS_BYTES`
        in each such time.
        """
        now = time.monotonic()
        if not self._window_end or (self.has_progress and now >= self._window_end):
            self._window_end, self._window_bytes = now + timeout_s, 0
        if now < self._window_end:
            return self._window_end - now
        self._overdue_reads += 1
        return 0.0 if self._overdue_reads <= MAX_OVERDUE_READS else None

    @property
    def has_progress(self) -> bool:
        """Whether enough of a body has arrived in the current time limit."""
        return self.head is not None and self._window_bytes >= MIN_PROGRESS_BYTES

    def add_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._body.write(data)
        self.body_bytes += len(data)

    def take_body(self) -> bytes:
        """Return the body, without a copy, and drop it here."""
        body, self._body = self._body.getvalue(), io.BytesIO()
        return body

    def drop_body(self) -> None:
        """Drop what was received of the body, and return its space."""
        self._body = io.BytesIO()
        if self.grant is not None:
            self.grant.release()

    def left_of(self, stated_ms: str) -> float:
        """Return what is left of the deadline that a field states, in seconds."""
        return max(MIN_LEFT_S, deadline_s(stated_ms) - self.waited_s)

    def waited(self, duration_s: float) -> None:
        """Count a wait for space, which is not the caller's; the time for the body starts anew."""
        self.granted_at = time.monotonic()
        if duration_s >= MIN_COUNTED_WAIT_S:
            self.waited_s += duration_s
            self._window_end = 0.0

    def is_slow_upload(self) -> bool:
        """Return whether a long body arrives too slowly to hold space that others wait for."""
        if self.grant is None or self.grant.is_small:
            return False
        held_s = time.monotonic() - self.granted_at
        return held_s >= MIN_UPLOAD_S and self.body_bytes < held_s * MIN_UPLOAD_BYTES_PER_S

    def received(self, count: int) -> None:
        """Count received bytes."""
        self.has_bytes = True
        self._window_bytes += count


def status_of(answer: AnswerCall) -> int:
    """Return the HTTP status of an answer without a server's response."""
    if answer.verdict is Verdict.NOT_RUN:
        return STATUS_BY_REASON.get(answer.reason, 503)
    return 504 if answer.reason in ("timeout", "deadline") else 502


def forwarded_fields(
    pairs: list[tuple[str, str]], request_id: str, dialect: Dialect
) -> list[tuple[str, str]]:
    """Return the fields of a request that are forwarded, and its id if the name is our own."""
    removed = dialect.reserved_fields | {"content-length", "expect"}
    fields = [pair for pair in end_to_end(pairs) if pair[0].lower() not in removed]
    if dialect.request_id.lower().startswith("pollenroad-") and request_id:
        fields.append((dialect.request_id, request_id))
    return fields


def malformed_detail(error: h11.RemoteProtocolError) -> str:
    """Return what is wrong with a request, without the octets that h11 quotes.

    The quoted header line may hold a key, and keys are not logged.
    """
    return _QUOTED_OCTETS.split(str(error), maxsplit=1)[0].rstrip(" :")


def deadline_s(text: str) -> float:
    """Return a deadline field's value in seconds, or the default if it is not valid."""
    try:
        stated_s = float(text) / 1000
    except ValueError:
        return DEFAULT_DEADLINE_S
    return stated_s if 0 < stated_s < float("inf") else DEFAULT_DEADLINE_S


def answer_bytes(exchange: Exchange, closes: bool) -> tuple[list[bytes], bool]:
    """Return the parts of an answer, and whether the connection closes after it.

    A long body is a part of its own, so that it is not copied.

    Raises:
        h11.LocalProtocolError: If it is not valid HTTP, or follows a malformed request.
        UnicodeEncodeError: If a field has characters that are no octets.
    """
    answer = exchange.answer
    fields = [("Connection", "close")] if closes else []
    if answer.response is not None:
        status, body = answer.response.status, answer.response.body
        fields += answer.response.headers
    else:
        status, body = status_of(answer), f"{answer.reason}\n".encode()
        fields.append(("Content-Type", "text/plain"))
        if status == HTTPStatus.UNAUTHORIZED:
            fields.append(("WWW-Authenticate", CHALLENGE))
        if answer.retry_after_ms:
            fields.append(("Retry-After", f"{answer.retry_after_ms / 1000:.3f}"))
    fields.append(("Content-Length", str(len(body))))
    if exchange.is_head:
        body = b""
    connection = exchange.connection
    if connection.our_state is h11.IDLE or connection.our_state is h11.SEND_RESPONSE:
        head = h11.Response(status_code=status, headers=encode_fields(fields))
        parts = [connection.send(head), connection.send(h11.Data(data=body))]
        parts.append(connection.send(h11.EndOfMessage()))
        if len(body) <= SMALL_MESSAGE_BYTES:
            parts = [b"".join(parts)]
        return parts, closes or connection.our_state is h11.MUST_CLOSE
    raise h11.LocalProtocolError("cannot send an answer after a malformed request")
