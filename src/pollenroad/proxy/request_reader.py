"""Reading of the requests on one connection of a caller."""

import time
from collections.abc import Callable

import h11
from gevent.socket import wait_read

from pollenroad.exceptions import NoSpaceError
from pollenroad.proxy.callers import Callers
from pollenroad.proxy.exchanges import PartialRequest, deadline_s
from pollenroad.proxy.memory.account import DEFAULT_RETRY_S, SMALL_MESSAGE_BYTES, Purpose
from pollenroad.proxy.reply_parser import READ_BYTES
from pollenroad.shell.frames import MAX_FRAME_BYTES
from pollenroad.shell.tasks import TurnCounter

MIN_READ_WAIT_S = 0.01
"""Shortest wait for bytes, in seconds, so that those already received are always read."""

MAX_FORWARDED_BODY_BYTES = MAX_FRAME_BYTES - 131_072
"""Longest body that is forwarded, in bytes: a frame between daemons, less room for its head."""

MIN_CHUNKED_BYTES = 4_096
"""Space that is taken first for a chunked body, in bytes; it is doubled as the body grows."""

SPACE_POLL_S = 0.5
"""Time between two checks whether a body that has space keeps it from others, in seconds."""

MAX_SPACE_WAIT_S = 3.0
"""Longest time for which a request waits for space for its body, in seconds; half of its deadline
if that is shorter, so that it can still be served."""


class RequestReader:
    """Reads requests from one connection.

    Args:
        callers: What all connections share.
        sock: The connection.
        refuse: Refuses a request, given the reason and its detail, as the last of the connection.
        has_open_requests: Returns whether requests of the connection wait for their answer.
    """

    def __init__(
        self,
        callers: Callers,
        sock,
        refuse: Callable[[PartialRequest, str, str], None],
        has_open_requests: Callable[[], bool],
    ):
        self._callers = callers
        self._sock = sock
        self._refuse = refuse
        self._has_open_requests = has_open_requests
        self._deadline_field = callers.dialect.deadline_ms.lower().encode()

    def new_partial(self, leftover: bytes) -> PartialRequest:
        """Return a new request, given the bytes of it that were already received."""
        partial = PartialRequest(self._new_parser())
        if leftover:
            partial.connection.receive_data(leftover)
            self._count_received(partial, len(leftover))
        return partial

    def _count_received(self, partial: PartialRequest, count: int) -> None:
        self._callers.reading += not partial.has_bytes
        partial.received(count)

    def _new_parser(self) -> h11.Connection:
        limit = self._callers.limits.max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def read(self, partial: PartialRequest) -> bool:
        """Read until a request is complete; return False if reading ends before that."""
        turns = TurnCounter()
        while True:
            turns.step()  # A chunk of one byte is an event, and one read holds thousands of them.
            match partial.connection.next_event():
                case h11.NEED_DATA:
                    if partial.connection.they_are_waiting_for_100_continue:
                        interim = h11.InformationalResponse(status_code=100, headers=[])
                        self._sock.sendall(partial.connection.send(interim))
                    data = self._receive(partial)
                    if data is None:
                        return False
                    partial.connection.receive_data(data)
                case h11.Request() as head:
                    partial.head = head
                    if not self._is_acceptable(partial):
                        return False
                case h11.Data(data=data):
                    if not self._add_body(partial, data):
                        return False
                case h11.EndOfMessage():
                    return True
                case _:
                    return False

    def _is_acceptable(self, partial: PartialRequest) -> bool:
        names = [name for name, _ in partial.head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            self._refuse(
                partial, "malformed", "request has both Content-Length and Transfer-Encoding"
            )
            return False
        length = next((int(v) for k, v in partial.head.headers if k == b"content-length"), 0)
        return not length or self._reserve(partial, length)

    def _reserve(self, partial: PartialRequest, count: int) -> bool:
        """Take space for a body of `count` bytes; return False, and refuse it, if there is none."""
        if count > self._callers.limits.max_body_bytes:
            self._refuse(partial, "body-too-large", f"{count} bytes")
            return False
        started = time.monotonic()
        stated = next((v for k, v in partial.head.headers if k == self._deadline_field), b"")
        timeout_s = min(MAX_SPACE_WAIT_S, deadline_s(stated.decode("latin-1")) / 2)
        try:
            if count > MAX_FORWARDED_BODY_BYTES:
                raise NoSpaceError(f"{count} bytes are more than a frame holds", DEFAULT_RETRY_S)
            partial.grant = self._callers.memory.acquire(Purpose.ENTRY_REQUESTS, count, timeout_s)
        except NoSpaceError as error:
            partial.retry_after_s = error.retry_after_s
            self._refuse(partial, "no-memory", str(error))
            return False
        finally:
            partial.waited(time.monotonic() - started)
        return True

    def _add_body(self, partial: PartialRequest, data: bytes) -> bool:
        """Add a part of a body; return False, and refuse the request, if it cannot be held.

        Space for a chunked body grows up to that of a small one, for which no request waits, and is
        then taken for the longest, so that no two requests hold parts and wait for each other.
        """
        size = partial.body_bytes + len(data)
        if size > self._callers.limits.max_body_bytes:
            self._refuse(partial, "body-too-large", f"{size} bytes received")
            return False
        if partial.grant is None or size > partial.grant.count:
            count = max(size, min(self._callers.limits.max_body_bytes, MAX_FORWARDED_BODY_BYTES))
            if size <= SMALL_MESSAGE_BYTES:
                count = min(count, 1 << (max(size, MIN_CHUNKED_BYTES) - 1).bit_length())
            if not self._reserve(partial, count):
                return False
        partial.add_body(data)
        return True

    def _receive(self, partial: PartialRequest) -> bytes | None:
        """Return the next bytes, b"" at the end of the stream, or None after a timeout."""
        limits = self._callers.limits
        while True:
            if partial.is_slow_upload() and self._callers.memory.account.has_waiting:
                partial.retry_after_s = DEFAULT_RETRY_S
                self._refuse(partial, "no-memory", "a slow body held space that others wait for")
                return None
            wait_s = limits.idle_timeout_s
            if partial.has_bytes:
                wait_s = partial.left_s(limits.header_timeout_s)
            try:
                if wait_s is None:
                    raise TimeoutError
                longest_s = wait_s if partial.grant is None else min(wait_s, SPACE_POLL_S)
                wait_read(self._sock.fileno(), max(MIN_READ_WAIT_S, longest_s))
            except TimeoutError:
                if wait_s is not None and wait_s > SPACE_POLL_S and partial.grant is not None:
                    continue
                if not partial.has_bytes and self._has_open_requests():
                    continue
                if partial.has_progress and wait_s:
                    continue  # Only the rest of the time limit has passed without a byte.
                if partial.has_bytes:
                    self._refuse(partial, "header-timeout", "the request arrived too slowly")
                return None
            data = self._sock.recv(READ_BYTES)
            self._count_received(partial, len(data))
            return data
