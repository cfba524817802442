"""The exchange with the server beside a guard: HTTP over loopback by urllib3.

Connections are kept here rather than in urllib3's pool, whose check for a dropped connection costs
a poll through the event loop for each request.
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

CONNECT_TIMEOUT_S = 0.25
PROBE_PATH = "/-/load"
BODILESS_STATUSES = frozenset({204, 304})


class _UnframedError(HTTPError):
    """The answer's end cannot be told from a broken connection."""


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
    if "content-length" in answer.headers or answer.chunked:
        return
    raise _UnframedError("answer has neither Content-Length nor chunked coding")


def _is_dropped(connection: HTTPConnection) -> bool:
    """Tell whether the server closed an idle connection or sent more than its answer."""
    try:
        connection.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class _Connection(HTTPConnection):
    """A connection that sends head and body in one segment, so that the server wakes once."""

    _held_back: list[bytes] | None = None

    def send(self, data) -> None:
        """Send bytes, or hold them back while a request is put together."""
        if self._held_back is None:
            super().send(data)
        else:
            self._held_back.append(data)

    def request(self, *arguments, **options) -> None:
        """Send a whole request."""
        self._held_back = []
        try:
            super().request(*arguments, **options)
        finally:
            held_back, self._held_back = self._held_back, None
        super().send(b"".join(held_back))


class _Connections:
    """Idle connections to one server; each is lent to one exchange at a time."""

    def __init__(self, server: str):
        self._host, self._port = split_address(server)
        self._idle: list[HTTPConnection] = []

    def take(self) -> HTTPConnection:
        """Return an idle connection that is still open, or a new one.

        Raises:
            NewConnectionError: If the server does not accept a connection.
            ConnectTimeoutError: If it does not within `CONNECT_TIMEOUT_S`.
        """
        while self._idle:
            connection = self._idle.pop()
            if not _is_dropped(connection):
                return connection
            connection.close()
        connection = _Connection(self._host, self._port, timeout=CONNECT_TIMEOUT_S)
        connection.connect()
        return connection

    def give_back(self, connection: HTTPConnection, answer: urllib3.HTTPResponse) -> None:
        """Keep a connection whose exchange ended whole."""
        if answer.headers.get("connection", "").lower() == "close" or connection.sock is None:
            connection.close()
        else:
            self._idle.append(connection)


class Upstream:
    """Exchanges with one server, one task for each.

    Args:
        server: Address of the server.
        post: Takes events for the guard.
    """

    def __init__(self, server: str, post: Callable[[Event], None]):
        self._post = post
        self._connections = _Connections(server)
        self._task_by_attempt: dict[str, gevent.Greenlet] = {}
        self._begun_attempts: set[str] = set()

    def run(self, attempt: Attempt, timeout_s: float) -> None:
        """Start the exchange of one attempt; its end is posted as an event."""
        task = gevent.spawn(self._exchange, attempt, timeout_s)
        self._task_by_attempt[attempt.attempt_id] = task

    def cancel(self, attempt_id: str) -> None:
        """Stop an exchange and close its connection, which the server sees as a cancellation."""
        task = self._task_by_attempt.pop(attempt_id, None)
        if task is None:
            return
        task.kill(block=False)
        if attempt_id not in self._begun_attempts:
            self._post(ServerFailed(attempt_id, reached=False, reason="cancelled"))

    def probe(self, timeout_s: float) -> None:
        """Start a probe of the server; its end is posted as an event."""
        gevent.spawn(self._probe, timeout_s)

    def _probe(self, timeout_s: float) -> None:
        event = ServerProbed(succeeded=False)
        try:
            connection = self._connections.take()
            answer = self._ask(connection, "GET", PROBE_PATH, None, {}, timeout_s)
            fields = tuple(answer.headers.items())
            incarnation = incarnation_of(Response(answer.status, fields))
            event = ServerProbed(answer.status == 200, incarnation)
        except (HTTPError, HTTPException, OSError):
            pass
        finally:
            self._post(event)

    def _exchange(self, attempt: Attempt, timeout_s: float) -> None:
        self._begun_attempts.add(attempt.attempt_id)
        event = ServerFailed(attempt.attempt_id, reached=True, reason="cancelled")
        try:
            event = self._outcome(attempt, timeout_s)
        except Exception as error:
            log("internal_error", where="upstream", reason=repr(error))
            event = ServerFailed(attempt.attempt_id, reached=True, reason="server-error")
        finally:
            self._task_by_attempt.pop(attempt.attempt_id, None)
            self._begun_attempts.discard(attempt.attempt_id)
            self._post(event)

    def _outcome(self, attempt: Attempt, timeout_s: float) -> Event:
        attempt_id = attempt.attempt_id
        try:
            connection = self._connections.take()
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
        return self._ask(connection, request.method, request.path, body, fields, timeout_s)

    def _ask(
        self,
        connection: HTTPConnection,
        method: str,
        path: str,
        body: bytes | None,
        fields: dict[str, str],
        timeout_s: float,
    ) -> urllib3.HTTPResponse:
        """Make one exchange; a connection whose exchange did not end whole is closed."""
        whole = False
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
            whole = True
        finally:
            if not whole:
                connection.close()
        self._connections.give_back(connection, answer)
        return answer
