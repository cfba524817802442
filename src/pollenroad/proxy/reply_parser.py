"""Parsing of one HTTP answer within bounds, without I/O.

h11 parses, and bounds a single head; `response_head` decides which heads are valid. A faulty server
can still send valid bytes without end: informational answers, chunks of one byte, a body without a
length. Each of them has a bound here, and the work of one step is bounded so that the caller can
yield between steps.
"""

import io
from dataclasses import dataclass

import h11

from pollenroad.exceptions import ExchangeError, MalformedResponse, ResponseError
from pollenroad.proxy.byte_budget import ByteBudget, Reservation
from pollenroad.proxy.memory.account import SMALL_MESSAGE_BYTES
from pollenroad.proxy.memory.space import Grant
from pollenroad.response_head import MAX_INTERIM, ResponseHead, make_head

EVENTS_PER_STEP = 64
"""Most parser events that one step handles; a chunk of the body is one event."""

READ_BYTES = 65_536
"""Size of one read from a socket, in bytes."""


@dataclass(frozen=True, slots=True)
class ReplyLimits:
    """Bounds on what a server may send in one answer."""

    max_informational: int = MAX_INTERIM
    """Answers with a status below 200 that may precede the answer."""
    max_framing_bytes: int = 65_536
    """Bytes apart from the body: heads, chunk sizes and extensions, and trailers."""
    max_framing_share: float = 0.25
    """Further such bytes that are allowed, as a share of the body."""
    max_body_bytes: int = 8_388_608
    """Bytes of the body. A frame between daemons holds no more."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    """Name and value of each field; names in lower case."""
    body: bytes
    can_reuse: bool
    """Whether the connection can be used for another exchange."""
    grant: Grant | None = None
    """Space for the body, if it is accounted for."""

    def header(self, name: str) -> str:
        """Return the first value of a header field, or an empty string."""
        lower = name.lower()
        return next((value for key, value in self.headers if key == lower), "")


@dataclass(frozen=True, slots=True)
class NeedData:
    """More bytes must be received before the next step."""


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The step has done its share of work; received bytes are still to be parsed."""


Step = NeedData | Interrupted | Reply


class ReplyParser:
    """Parser of the answer to one request.

    Args:
        request: The request; how an answer is parsed depends on it.
        leftover: Bytes already received on this connection.
        limits: Bounds on the answer.
        budget: Bytes that the daemon may hold for bodies of answers.
    """

    def __init__(
        self, request: h11.Request, leftover: bytes, limits: ReplyLimits, budget: ByteBudget
    ):
        self._connection = h11.Connection(h11.CLIENT)
        self._connection.send(request)
        self._is_head = request.method == b"HEAD"
        self._limits = limits
        self._reservation = Reservation(budget)
        self._head: ResponseHead | None = None
        self._body = io.BytesIO()
        self._body_bytes = 0
        self._informational = 0
        self._received_bytes = len(leftover)
        self.unread = b""
        """Bytes after the complete answer."""
        if leftover:
            self._connection.receive_data(leftover)

    @property
    def has_head(self) -> bool:
        """Whether the head of the answer has been received."""
        return self._head is not None

    def receive(self, data: bytes) -> None:
        """Add received bytes; none at the end of the stream.

        Raises:
            ExchangeError: If the stream ended before any answer.
        """
        if not data and self._head is None:
            raise ExchangeError("closed without an answer", reached=True)
        self._received_bytes += len(data)
        self._connection.receive_data(data)

    def step(self) -> Step:
        """Parse received bytes until the answer is complete, or the step has done its share.

        Raises:
            ExchangeError: If the answer is incomplete or exceeds a bound.
            ResponseError: If its head is not valid.
            h11.RemoteProtocolError: If it is malformed otherwise.
        """
        for _ in range(EVENTS_PER_STEP):
            match self._connection.next_event():
                case h11.NEED_DATA:
                    self._check_framing()
                    return NeedData()
                case h11.InformationalResponse() as interim:
                    _checked_head(interim)
                    self._add_informational()
                case h11.Response() as response:
                    self._head = _checked_head(response)
                case h11.Data(data=data):
                    self._add_body(data)
                case h11.EndOfMessage():
                    return self._complete()
                case _:
                    raise ExchangeError("closed without an answer", reached=True)
        self._check_framing()
        return Interrupted()

    @property
    def long_bytes(self) -> int:
        """Bytes to hold for the body if it is long, else 0; the most there may be if unknown."""
        if self._head is None or self._is_head:
            return 0
        longest = self._limits.max_body_bytes
        fields = self._head.fields
        length = next((int(v) for k, v in fields if k == "content-length"), self._body_bytes)
        if length <= SMALL_MESSAGE_BYTES:
            return 0
        return longest if length == self._body_bytes else min(length, longest)

    def release(self) -> None:
        """Return the bytes that this answer holds to the budget."""
        self._reservation.release()

    def _add_informational(self) -> None:
        self._informational += 1
        if self._informational > self._limits.max_informational:
            raise ResponseError("too many informational answers")

    def _add_body(self, data: bytes) -> None:
        if self._body_bytes + len(data) > self._limits.max_body_bytes:
            raise ResponseError("answer too long")
        if not self._reservation.try_extend(len(data)):
            raise ResponseError("no memory for the answer")
        self._body.write(data)
        self._body_bytes += len(data)

    def _check_framing(self) -> None:
        """Bound the bytes apart from the body; up to one read of them is not parsed yet."""
        limits, body_bytes = self._limits, self._body_bytes
        allowed_bytes = limits.max_framing_bytes + limits.max_framing_share * body_bytes
        if self._received_bytes - body_bytes > allowed_bytes + READ_BYTES:
            raise ResponseError("too many bytes apart from the body")

    def _complete(self) -> Reply:
        connection, head = self._connection, self._head
        self.unread = connection.trailing_data[0]
        can_reuse = connection.their_state is h11.DONE and not self.unread
        return Reply(head.status, head.fields, self._body.getvalue(), can_reuse)


def _checked_head(event: h11.InformationalResponse | h11.Response) -> ResponseHead:
    fields = ((name.decode("latin-1"), value.decode("latin-1")) for name, value in event.headers)
    version, reason = event.http_version.decode("latin-1"), event.reason.decode("latin-1")
    try:
        return make_head(version, event.status_code, reason, fields)
    except MalformedResponse as error:
        raise ResponseError(f"malformed response: {error}") from error
