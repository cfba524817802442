"""Upstream connections of a guard: HTTP exchanges with the server on this VM, by urllib3.

The connection pool of urllib3 is not used, since its check for a dropped connection polls the
socket through the event loop for each request.
"""

import socket
from collections.abc import Callable
from http.client import HTTPException

import gevent
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
)

from pollenroad import headers
from pollenroad.addresses import split_address
from pollenroad.boundary import Event, ServerAnswered, ServerFailed, ServerProbed, ServerShed
from pollenroad.guard.capacity import incarnation_of
from pollenroad.guard.coldstart import SERVER_RESET, SERVER_UNREACHABLE
from pollenroad.logs import log
from pollenroad.messages import Attempt, Response
from pollenroad.strict_http import StrictConnection, rejection_reason

CONNECT_TIMEOUT_S = 0.25
"""Timeout for opening a connection to the server, in seconds."""

PROBE_PATH = "/-/load"
"""Path of a probe request."""

BODILESS_STATUSES = frozenset({204, 304})


class _UnframedError(HTTPException):
    """A response without framing: its end looks the same as a broken connection."""


def _request_headers(attempt: Attempt, timeout_s: float) -> dict[str, str]:
    fields = urllib3.HTTPHeaderDict(attempt.request.headers)
    fields[headers.REQUEST_ID] = attempt.request_id
    fields[headers.ATTEMPT_ID] = attempt.attempt_id
    fields[headers.CUSTOMER] = attempt.customer
    fields[headers.REQUEST_CLASS] = attempt.request_class
    fields[headers.DEADLINE_MS] = f"{timeout_s * 1000:.0f}"
    fields[headers.DEPTH] = str(attempt.depth + 1)
    fields[headers.RETRY_BUDGET] = f"{attempt.retry_budget:g}"
    return fields


def _check_framing(method: str, answer: urllib3.HTTPResponse) -> None:
    if method == "HEAD" or answer.status in BODILESS_STATUSES:
        return
    length = answer.headers.get("content-length", "")
    if answer.chunked or (length.isascii() and length.isdigit()):
        return
    raise _UnframedError("response has neither a valid Content-Length nor chunked transfer coding")


def _is_dropped(connection: HTTPConnection) -> bool:
    """Return whether the server closed an idle connection or sent data after its response."""
    try:
        connection.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class _Connection(StrictConnection):
    """Connection that sends header block and body in one segment, so the server wakes up once."""

    _write_buffer: list[bytes] | None = None

    def send(self, data) -> None:
        """Send data, or buffer it while a request is being assembled."""
        if self._write_buffer is None:
            super().send(data)
        else:
            self._write_buffer.append(data)

    def request(self, *arguments, **options) -> None:
        """Send a complete request."""
        self._write_buffer = []
        try:
            super().request(*arguments, **options)
        finally:
            buffered, self._write_buffer = self._write_buffer, None
        super().send(b"".join(buffered))


class _ConnectionPool:
    """Connection pool for one server; a connection serves one exchange at a time."""

    def __init__(self, server: str):
        self._host, self._port = split_address(server)
        self._idle: list[HTTPConnection] = []

    def acquire(self) -> HTTPConnection:
        """Return an idle connection that is still open, or a new one.

        Raises:
            NewConnectionError: If the server does not accept a connection.
            ConnectTimeoutError: If connecting takes longer than `CONNECT_TIMEOUT_S`.
        """
        while self._idle:
            connection = self._idle.pop()
            if not _is_dropped(connection):
                return connection
            connection.close()
        connection = _Connection(self._host, self._port, timeout=CONNECT_TIMEOUT_S)
        connection.connect()
        return connection

    def release(self, connection: HTTPConnection, answer: urllib3.HTTPResponse) -> None:
        """Return a connection to the pool after a complete exchange, or close it."""
        if answer.headers.get("connection", "").lower() == "close" or connection.sock is None:
            connection.close()
        else:
            self._idle.append(connection)


class Upstream:
    """Exchanges with one server, each in its own task.

    Args:
        server: Address of the server.
        post: Passes an event to the cores.
    """

    def __init__(self, server: str, post: Callable[[Event], None]):
        self._post = post
        self._pool = _ConnectionPool(server)
        self._task_by_attempt: dict[str, gevent.Greenlet] = {}
        self._started_attempts: set[str] = set()

    def run(self, attempt: Attempt, timeout_s: float) -> None:
        """Start the exchange of one attempt; its outcome is posted as an event."""
        task = gevent.spawn(self._run, attempt, timeout_s)
        self._task_by_attempt[attempt.attempt_id] = task

    def cancel(self, attempt_id: str) -> None:
        """Abort an exchange and close its connection, which the server sees as a cancellation."""
        task = self._task_by_attempt.pop(attempt_id, None)
        if task is None:
            return
        task.kill(block=False)
        if attempt_id not in self._started_attempts:
            self._post(ServerFailed(attempt_id, reached=False, reason="cancelled"))

    def probe(self, timeout_s: float) -> None:
        """Start a probe of the server; its outcome is posted as an event."""
        gevent.spawn(self._probe, timeout_s)

    def _probe(self, timeout_s: float) -> None:
        event = ServerProbed(succeeded=False)
        try:
            connection = self._pool.acquire()
            answer = self._exchange(connection, "GET", PROBE_PATH, None, {}, timeout_s)
            fields = tuple(answer.headers.items())
            incarnation = incarnation_of(Response(answer.status, fields))
            event = ServerProbed(answer.status == 200, incarnation)
        except (HTTPError, HTTPException, OSError):
            pass
        finally:
            self._post(event)

    def _run(self, attempt: Attempt, timeout_s: float) -> None:
        self._started_attempts.add(attempt.attempt_id)
        event = ServerFailed(attempt.attempt_id, reached=True, reason="cancelled")
        try:
            event = self._outcome(attempt, timeout_s)
        except Exception as error:
            log("internal_error", where="upstream", reason=repr(error))
            event = ServerFailed(attempt.attempt_id, reached=True, reason="server-error")
        finally:
            self._task_by_attempt.pop(attempt.attempt_id, None)
            self._started_attempts.discard(attempt.attempt_id)
            self._post(event)

    def _outcome(self, attempt: Attempt, timeout_s: float) -> Event:
        attempt_id = attempt.attempt_id
        try:
            connection = self._pool.acquire()
        except (NewConnectionError, ConnectTimeoutError, OSError):
            return ServerFailed(attempt_id, reached=False, reason=SERVER_UNREACHABLE)
        try:
            answer = self._request(connection, attempt, timeout_s)
        except TimeoutError:
            return ServerFailed(attempt_id, reached=True, reason="deadline")
        except (ProtocolError, HTTPException, ConnectionError):
            return ServerFailed(attempt_id, reached=True, reason=SERVER_RESET)
        except (HTTPError, OSError) as error:
            return ServerFailed(attempt_id, reached=True, reason=f"server-{type(error).__name__}")
        if headers.NOT_RUN in answer.headers:
            draining = answer.headers[headers.NOT_RUN] == "draining"
            return ServerShed(attempt_id, draining)
        fields = tuple(headers.end_to_end(answer.headers.items()))
        return ServerAnswered(attempt_id, Response(answer.status, fields, answer.data))

    def _request(
        self, connection: HTTPConnection, attempt: Attempt, timeout_s: float
    ) -> urllib3.HTTPResponse:
        request = attempt.request
        fields = _request_headers(attempt, timeout_s)
        body = request.body or None
        return self._exchange(connection, request.method, request.path, body, fields, timeout_s)

    def _exchange(
        self,
        connection: HTTPConnection,
        method: str,
        path: str,
        body: bytes | None,
        fields: dict[str, str],
        timeout_s: float,
    ) -> urllib3.HTTPResponse:
        """Make one exchange; the connection of an incomplete exchange is closed."""
        is_complete = False
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
        try:
            connection.request(
                method,
                path,
                body=body,
                headers=fields,
                preload_content=True,
                decode_content=False,
            )
            answer = connection.getresponse()
            _check_framing(method, answer)
            is_complete = True
        except (HTTPError, HTTPException) as error:
            if reason := rejection_reason(error):
                server = f"{connection.host}:{connection.port}"
                log("response_rejected", server=server, path=path[:64], reason=reason)
            raise
        finally:
            if not is_complete:
                connection.close()
        self._pool.release(connection, answer)
        return answer
