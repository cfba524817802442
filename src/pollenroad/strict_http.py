"""urllib3 connections that accept only valid and complete responses.

`http.client` takes the end of the stream for the end of a head and of chunks, and repairs heads: a
response that breaks off would be a complete one without its body, and a malformed line would hide
the fields behind it. Heads and chunks are therefore read here, and checked by `response_head`.
"""

import http.client
import io
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import ProtocolError

from pollenroad.exceptions import MalformedResponse
from pollenroad.response_head import (
    MAX_INTERIM,
    ResponseHead,
    check_fields,
    chunk_length,
    parse_fields,
    parse_head,
)

MAX_LINE_BYTES = 65_536
"""Longest line of a head, of trailers or before a chunk, in bytes, as in `http.client`."""

MAX_LINES = 101
"""Most lines of a head or of trailers, as in `http.client`."""

MAX_HEAD_BYTES = 131_072
"""Longest head or trailers, in bytes: a longer one is no response, but bytes without end."""

MAX_BODY_BYTES = 8_388_608
"""Longest body, in bytes. A frame between daemons holds no more."""

MAX_FRAMING_BYTES = 65_536
"""Bytes of chunk sizes and extensions in addition to `MAX_FRAMING_SHARE` of the body."""

MAX_FRAMING_SHARE = 0.25
"""Further such bytes that are allowed, as a share of the body."""

READ_BYTES = 1_048_576
"""Largest single read of a body, in bytes, so that memory follows what has arrived rather than the
length that a head states."""


class RejectedResponse(http.client.HTTPException):
    """A response is malformed, or its end was not orderly; states the reason."""


class StrictResponse(http.client.HTTPResponse):
    """A response that must be valid and complete.

    Args:
        sock: Socket of the connection.
        arguments: As of the base class.
        send_error: Error that occurred while the request was being sent; None if none did.
        options: As of the base class.
    """

    def __init__(self, sock, *arguments, send_error: OSError | None = None, **options):
        super().__init__(sock, *arguments, **options)
        self._sock = sock
        self._send_error = send_error
        self._unread_body: io.BytesIO | None = None

    def begin(self) -> None:
        """Read the head.

        Raises:
            RejectedResponse: If it is malformed.
            http.client.HTTPException: If the stream ends within it, or it is too long.
        """
        if self.headers is not None:
            return
        with _rejecting():
            head = self._read_head()
        stream, self.fp = self.fp, io.BytesIO(head.encode())
        try:
            super().begin()
        finally:
            self.fp = stream
        if self.length == 0:  # By its status or request, it has no body, whatever its fields state.
            self.chunked = False

    def read(self, amt: int | None = None) -> bytes:
        """Return the next bytes of the body, of which the first call reads all.

        Raises:
            RejectedResponse: If a chunk is malformed, or the end of a body without a length was
                not orderly.
            http.client.IncompleteRead: If the stream ends within the body.
        """
        if self._unread_body is None:
            if self.fp is None:
                return b""
            try:
                with _rejecting():
                    self._unread_body = io.BytesIO(self._read_body())
            finally:
                self._close_conn()
        return self._unread_body.read(amt)

    def _read_head(self) -> ResponseHead:
        for _ in range(MAX_INTERIM + 1):
            head = parse_head(self._read_lines())
            if not head.is_interim:
                return head
        raise MalformedResponse(f"more than {MAX_INTERIM} interim responses")

    def _read_lines(self) -> list[bytes]:
        """Read the lines of a head or of trailers up to the empty one, without their ends."""
        lines: list[bytes] = []
        left_bytes = MAX_HEAD_BYTES
        while len(lines) <= MAX_LINES:
            line = self._read_line().removesuffix(b"\n").removesuffix(b"\r")
            if not line:
                return lines
            lines.append(line)
            left_bytes -= len(line)
            if left_bytes < 0:
                raise MalformedResponse(f"more than {MAX_HEAD_BYTES} bytes in a head")
        raise MalformedResponse(f"more than {MAX_LINES} lines")

    def _read_line(self) -> bytes:
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise http.client.LineTooLong("line")
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return line

    def _read_body(self) -> bytes:
        if self._method == "HEAD":
            return b""
        if self.chunked:
            return self._read_chunks()
        if self.length is not None:
            return self._read_exactly(self.length)
        body = self._read_to_end()
        self._check_orderly_end()
        return body

    def _read_to_end(self) -> bytes:
        body = bytearray()
        while data := self.fp.read(READ_BYTES):
            body += data
            _check_length(len(body))
        return bytes(body)

    def _read_chunks(self) -> bytes:
        body, framing_bytes = bytearray(), 0
        while length := chunk_length(line := self._read_line()):
            _check_length(len(body) + length)
            body += self._read_exactly(length)
            framing_bytes += len(line) + 2
            if framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_SHARE * len(body):
                raise MalformedResponse("too many bytes apart from the body")
            if self._read_line() not in (b"\r\n", b"\n"):
                raise MalformedResponse("a chunk is longer than its size")
        check_fields(parse_fields(self._read_lines()))
        return bytes(body)

    def _read_exactly(self, count: int) -> bytes:
        _check_length(count)
        body = bytearray()
        while len(body) < count:
            data = self.fp.read(min(count - len(body), READ_BYTES))
            if not data:
                raise http.client.IncompleteRead(bytes(body), count - len(body))
            body += data
        return bytes(body)

    def _check_orderly_end(self) -> None:
        """Check that the end of the stream did not hide a reset.

        Linux reports a pending error of a socket once, to the first call that asks for it. urllib3
        ignores the one that sending gets, and the read that follows sees an ordinary end.
        """
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if self._send_error is not None or code:
            reason = self._send_error or os.strerror(code)
            raise RejectedResponse(f"connection broke within a body without a length: {reason}")


class StrictConnection(HTTPConnection):
    """A connection whose responses must be valid and complete."""

    _send_error: OSError | None = None

    def putrequest(self, *arguments, **options) -> None:
        """Begin a request."""
        self._send_error = None
        super().putrequest(*arguments, **options)

    def send(self, data) -> None:
        """Send data; an error is kept, since urllib3 ignores a reset by the server here."""
        try:
            super().send(data)
        except OSError as error:
            self._send_error = error
            raise

    def response_class(self, sock, *arguments, **options) -> StrictResponse:
        """Return the response to the request that was sent."""
        return StrictResponse(sock, *arguments, send_error=self._send_error, **options)


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = StrictConnection


def get(url: str, timeout_s: float) -> urllib3.BaseHTTPResponse:
    """Return the response to one GET request on a connection of its own.

    Raises:
        urllib3.exceptions.HTTPError: If there is no valid and complete response.
    """
    with urllib3.PoolManager() as manager:
        manager.pool_classes_by_scheme = {"http": StrictConnectionPool}
        return manager.request("GET", url, timeout=timeout_s, retries=False)


def rejection_reason(error: Exception) -> str:
    """Return why a response was rejected, or an empty string if an error is no rejection.

    Args:
        error: What a connection or a pool of this module raised.
    """
    cause = error.args[1] if isinstance(error, ProtocolError) and len(error.args) > 1 else error
    if isinstance(cause, ConnectionError):  # With this text, urllib3 wraps an error before a body.
        is_before_body = cause is error or error.args[0] == "Connection aborted."
        return "" if is_before_body else str(cause)
    return str(cause) if isinstance(cause, http.client.HTTPException) else ""


def _check_length(count: int) -> None:
    if count > MAX_BODY_BYTES:
        raise MalformedResponse(f"a body of over {MAX_BODY_BYTES} bytes")


@contextmanager
def _rejecting() -> Iterator[None]:
    """Turn a malformed response into an exception that urllib3 handles."""
    try:
        yield
    except MalformedResponse as error:
        raise RejectedResponse(str(error)) from error
