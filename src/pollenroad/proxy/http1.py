"""HTTP/1.1 over gevent sockets: a client, and a small server for operators.

No peer can keep the event loop busy: every read waits in the hub, and parsing is done in steps.
"""

import os
import socket
from collections.abc import Callable, Iterable
from dataclasses import replace

import gevent
import h11
from gevent import socket as gsocket
from gevent.server import StreamServer
from gevent.socket import wait_read

from pollenroad.addresses import split_address
from pollenroad.exceptions import ExchangeError, ResponseError
from pollenroad.headers import encode_fields
from pollenroad.logs import log
from pollenroad.proxy.byte_budget import ByteBudget
from pollenroad.proxy.memory.space import Grant
from pollenroad.proxy.reply_parser import (
    READ_BYTES,
    Interrupted,
    NeedData,
    Reply,
    ReplyLimits,
    ReplyParser,
)
from pollenroad.shell.sockets import await_slow_reader, set_liveness_options, set_no_delay

MAX_REPLIES = 4
"""Maximum number of answers read in one exchange; those to earlier requests are skipped."""

MAX_HELD_REPLY_BYTES = 16_777_216
"""Bytes of answers that a daemon reads at once for itself, as from the platform's store; those
that it forwards are accounted for together with all that it holds."""

SEPARATE_SEND_BYTES = 32_768
"""Length of a request body from which sending and reading overlap: a server may answer before it
has read a long body."""

RESET_WAIT_S = 0.05
"""Time for which an unfinished upload goes on after the server has shut down its side, in seconds:
if it has closed the connection, a reset follows as soon as further bytes reach it."""

OPERATOR_IDLE_S = 30.0
"""Idle time after which an operator's connection is closed, in seconds."""

MAX_OPERATOR_REQUEST_BYTES = 65_536
"""Longest request of an operator, in bytes."""

REPLY_LIMITS = ReplyLimits()

_held_replies = ByteBudget(MAX_HELD_REPLY_BYTES)


class ClientConnection:
    """One connection to an HTTP server, with one exchange at a time.

    Args:
        address: Address of the server.
        timeout_s: Timeout for opening the connection, in seconds.
        limits: Bounds on an answer.

    Raises:
        ExchangeError: If the connection cannot be opened; nothing has been sent.
    """

    def __init__(self, address: str, timeout_s: float, limits: ReplyLimits = REPLY_LIMITS):
        try:
            self._sock = gsocket.create_connection(split_address(address), timeout_s)
            self._sock.settimeout(None)
            set_liveness_options(self._sock)
        except OSError as error:
            raise ExchangeError(f"no connection to {address}: {error}", reached=False) from error
        self._address = address
        self._limits = limits
        self._unread = b""
        self._on_data: Callable[[], None] = lambda: None
        self._sender: gevent.Greenlet | None = None
        """Task that sends a long body, and its result; None if the body was sent at once."""

    def close(self) -> None:
        """Close the connection; the server treats this as a cancellation."""
        self._sock.close()

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread data."""
        try:
            self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def exchange(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes = b"",
        is_stale: Callable[[Reply], bool] = lambda reply: False,
        reserve: Callable[[int], Grant] | None = None,
        on_data: Callable[[], None] = lambda: None,
    ) -> Reply:
        """Send a request and read its complete answer.

        Args:
            method: HTTP method.
            target: Path with query.
            headers: Header fields, without Content-Length and Transfer-Encoding.
            body: Body, sent with Content-Length.
            is_stale: Returns whether an answer belongs to an earlier request and must be skipped.
            reserve: Waits for the space of a long body, given its length in bytes.
            on_data: Called when a part of the answer has arrived.

        Raises:
            ExchangeError: If the answer is incomplete, not valid HTTP or exceeds a bound; the
                request may have run. Also if the request is not valid HTTP; then nothing was sent.
                A `ResponseError` if the answer was rejected, which is logged.
        """
        fields = [*headers]
        if body or method in ("POST", "PUT", "PATCH"):
            fields.append(("Content-Length", str(len(body))))
        try:
            request = h11.Request(method=method, target=target, headers=encode_fields(fields))
            head = _encode_head(request)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise ExchangeError(f"request cannot be sent: {error}", reached=False) from error
        self._on_data = on_data
        try:
            if len(body) < SEPARATE_SEND_BYTES:
                self._sock.sendall(head + body)
                return self._read_own_reply(request, is_stale, reserve)
            return self._send_while_reading(request, (head, body), is_stale, reserve)
        except (ResponseError, h11.ProtocolError) as error:
            log("response_rejected", server=self._address, path=target[:64], reason=str(error))
            raise ResponseError(f"no whole answer: {error}") from error
        except OSError as error:
            raise ExchangeError(f"connection broke: {error}", reached=True) from error

    def _send_while_reading(
        self,
        request: h11.Request,
        parts: tuple[bytes, bytes],
        is_stale: Callable[[Reply], bool],
        reserve: Callable[[int], Grant] | None,
    ) -> Reply:
        await_slow_reader(self._sock, True)
        sender = self._sender = gevent.spawn(self._send, parts)
        try:
            reply = self._read_own_reply(request, is_stale, reserve)
        finally:
            is_sent = sender.successful() and sender.value is None
            self._sender = None
            sender.kill()
        if is_sent and reply.can_reuse:
            await_slow_reader(self._sock, False)
        if is_sent or not reply.can_reuse:
            return reply
        # The server expects the rest of the body next, not another request.
        return replace(reply, can_reuse=False)

    def _send(self, parts: tuple[bytes, bytes]) -> OSError | None:
        """Send both parts; return the error with which the connection ended, if it did."""
        try:
            for part in parts:
                self._sock.sendall(part)
        except OSError as error:
            return error
        return None

    def _read_own_reply(
        self,
        request: h11.Request,
        is_stale: Callable[[Reply], bool],
        reserve: Callable[[int], Grant] | None,
    ) -> Reply:
        for _ in range(MAX_REPLIES):
            reply = self._read_reply(request, reserve)
            if not is_stale(reply):
                return reply
            if not reply.can_reuse and not self._unread:
                break
        raise ExchangeError("only answers to other requests", reached=True)

    def _read_reply(self, request: h11.Request, reserve: Callable[[int], Grant] | None) -> Reply:
        budget = ByteBudget(self._limits.max_body_bytes) if reserve else _held_replies
        parser, grant = ReplyParser(request, self._unread, self._limits, budget), None
        has_ended = False
        try:
            while True:
                match parser.step():
                    case Reply() as reply:
                        if has_ended:
                            self._check_orderly_end()
                        self._unread = parser.unread
                        return replace(reply, grant=grant)
                    case Interrupted():
                        gevent.sleep(0)
                    case NeedData():
                        if reserve and grant is None and parser.long_bytes:
                            grant = reserve(parser.long_bytes)
                        # A read alone does not yield while the socket has data.
                        wait_read(self._sock.fileno())
                        data = self._sock.recv(READ_BYTES)
                        has_ended = not data
                        self._on_data()
                        parser.receive(data)
        except OSError as error:
            if parser.has_head:
                raise ResponseError(f"connection broke: {error}") from error
            raise
        finally:
            parser.release()

    def _check_orderly_end(self) -> None:
        """Check that the end of the stream, with which a body ended, did not hide a reset.

        Linux reports a pending error of a socket once, to the first call that asks for it. If that
        was the sending task, or if the reset followed a FIN, a read returns an ordinary end.

        Raises:
            ResponseError: If an error occurred on the connection in either direction.
        """
        error = None
        if self._sender is not None:
            self._sender.join(RESET_WAIT_S)
            error = self._sender.value
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error is not None or code:
            reason = error or os.strerror(code)
            raise ResponseError(f"connection broke within a body without a length: {reason}")


def _encode_head(request: h11.Request) -> bytes:
    return h11.Connection(h11.CLIENT).send(request)


# --- Server for operators and the platform's readiness checks ---

Page = tuple[int, str, bytes]
"""Status, content type and body."""


def serve_pages(address: str, pages: dict[str, Callable[[], Page]]) -> StreamServer:
    """Return a server, not yet started, that serves pages by path.

    Args:
        address: Address to listen on, `HOST:PORT`.
        pages: Function that returns the page, by path.
    """

    def handle(sock, _remote) -> None:
        try:
            _serve_connection(sock, pages)
        except (OSError, gevent.Timeout, h11.ProtocolError, ExchangeError) as error:
            log("operator_connection_lost", reason=f"{type(error).__name__}: {error}")
        finally:
            sock.close()

    return StreamServer(split_address(address), handle, backlog=64)


def _serve_connection(sock, pages: dict[str, Callable[[], Page]]) -> None:
    set_no_delay(sock)
    connection = h11.Connection(h11.SERVER)
    path, request_bytes = "", 0
    while True:
        match connection.next_event():
            case h11.NEED_DATA:
                wait_read(sock.fileno(), OPERATOR_IDLE_S)
                data = sock.recv(READ_BYTES)
                request_bytes += len(data)
                if request_bytes > MAX_OPERATOR_REQUEST_BYTES:
                    raise ExchangeError("request too long", reached=False)
                connection.receive_data(data)
            case h11.Request(target=target):
                path = target.decode("latin-1").partition("?")[0]
            case h11.EndOfMessage():
                sock.sendall(_page_bytes(connection, pages.get(path, _not_found)()))
                if connection.our_state is not h11.DONE:
                    return
                connection.start_next_cycle()
                request_bytes = 0
            case h11.ConnectionClosed() | h11.PAUSED:
                return


def _page_bytes(connection: h11.Connection, page: Page) -> bytes:
    status, content_type, body = page
    fields = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    data = connection.send(h11.Response(status_code=status, headers=fields))
    return data + connection.send(h11.Data(data=body)) + connection.send(h11.EndOfMessage())


def _not_found() -> Page:
    return 404, "text/plain", b"no such page\n"
