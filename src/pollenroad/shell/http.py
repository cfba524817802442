"""HTTP server for callers: a bottle application on gevent's pywsgi."""

import secrets
import socket
from collections.abc import Callable

import bottle
import gevent
from gevent.event import AsyncResult
from gevent.pywsgi import WSGIHandler, WSGIServer

from pollenroad import headers
from pollenroad.addresses import split_address
from pollenroad.boundary import AnswerCall, CallAbandoned, CallArrived, Event
from pollenroad.messages import Request, Response
from pollenroad.shell.header_block import MAX_HEADER_BYTES, read_header_block
from pollenroad.shell.sockets import set_no_delay
from pollenroad.verdicts import Verdict

MAX_BODY_BYTES = 8_388_608
"""Longest body that a daemon reads, in bytes; a service may set a lower limit."""

STATUS_BY_REASON = {
    "unknown-service": 404,
    "unknown-class": 400,
    "body-too-large": 413,
    "limit-rate": 429,
    "limit-concurrency": 429,
    "deadline": 504,
}
"""HTTP status of an answer without a server's response, by reason. For other reasons it is 503 if
the request has not run, and 502 otherwise."""


class CallHandler(WSGIHandler):
    """Handler that sets TCP_NODELAY and passes the socket to the application."""

    def MessageClass(self, stream, _seekable):  # noqa: N802 (pywsgi's name)
        """Return the header block of a request."""
        return read_header_block(stream, getattr(self.server, "max_header_bytes", MAX_HEADER_BYTES))

    def __init__(self, sock, address, server, rfile=None):
        set_no_delay(sock)
        sock.settimeout(getattr(server, "idle_timeout_s", None))
        self._write_buffer: bytearray | None = None
        super().__init__(sock, address, server, rfile)

    def get_environ(self):
        """Add the caller's socket to the WSGI environment."""
        environ = super().get_environ()
        environ["pollenroad.socket"] = self.socket
        return environ

    def _write_with_headers(self, data):
        """Send header block and first data in one segment, so that the caller wakes up once."""
        self._write_buffer = bytearray()
        super()._write_with_headers(data)
        buffered, self._write_buffer = self._write_buffer, None
        super()._sendall(buffered)

    def _sendall(self, data):
        if self._write_buffer is None:
            super()._sendall(data)
        else:
            self._write_buffer += data

    def log_request(self):
        """Write no access log: each call is logged as an event of the event catalogue."""


def _parse_number(text: str, name: str, low: float, high: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not low <= value <= high:
        raise bottle.HTTPError(400, f"{name} must be a number from {low:g} to {high:g}")
    return value


def _header_number(name: str, default: float, low: float, high: float) -> float:
    text = bottle.request.headers.get(name)
    return default if text is None else _parse_number(text, name, low, high)


def _read_body() -> bytes:
    length = bottle.request.environ.get("CONTENT_LENGTH") or "0"
    if length.isdigit() and int(length) > MAX_BODY_BYTES:
        raise bottle.HTTPError(413, f"the body may have {MAX_BODY_BYTES} bytes")
    try:
        body = bottle.request.environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except OSError:
        raise bottle.HTTPError(400, "the body is not whole") from None
    if len(body) > MAX_BODY_BYTES:
        raise bottle.HTTPError(413, f"the body may have {MAX_BODY_BYTES} bytes")
    if length.isdigit() and len(body) < int(length):
        raise bottle.HTTPError(400, "the body is shorter than Content-Length")
    return body


def _request_headers(environ: dict) -> tuple[tuple[str, str], ...]:
    pairs = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_") and name != "HTTP_HOST"
    ]
    if environ.get("CONTENT_TYPE"):
        pairs.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers.end_to_end(pairs))


def _target(environ: dict, prefix: str) -> str:
    raw = environ.get("RAW_URI") or environ["PATH_INFO"]
    path = raw[len(prefix) :] if raw.startswith(prefix) else environ["PATH_INFO"][len(prefix) :]
    if environ.get("QUERY_STRING") and "?" not in path:
        path = f"{path}?{environ['QUERY_STRING']}"
    return path if path.startswith("/") else f"/{path}"


def status_of(answer: AnswerCall) -> int:
    """Return the HTTP status of an answer without a server's response."""
    if answer.reason in STATUS_BY_REASON:
        return STATUS_BY_REASON[answer.reason]
    return 503 if answer.verdict is Verdict.NOT_RUN else 502


class Calls:
    """Open calls of this process, by id, each with a task that waits for its answer.

    Args:
        post: Passes an event to the cores.
        refusal_reason: Returns why new calls are currently refused, or an empty string.
    """

    def __init__(self, post: Callable[[Event], None], refusal_reason: Callable[[], str]):
        self._post = post
        self._refusal_reason = refusal_reason
        self._result_by_call: dict[str, AsyncResult] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._result_by_call)

    def answer(self, answer: AnswerCall) -> None:
        """Pass an answer to the task that waits for it."""
        result = self._result_by_call.pop(answer.call_id, None)
        if result is not None:
            result.set(answer)

    def next_id(self) -> str:
        """Return an id that is unique within this process."""
        self._count += 1
        return str(self._count)

    def run(self, call: CallArrived, sock) -> AnswerCall:
        """Post a call and wait for its answer; abandon it if the caller closes the connection."""
        refusal = self._refusal_reason()
        if refusal:
            return AnswerCall(call.call_id, Verdict.NOT_RUN, refusal)
        result = AsyncResult()
        self._result_by_call[call.call_id] = result
        watcher = gevent.get_hub().loop.io(sock.fileno(), 1)
        watcher.start(self._on_readable, call.call_id, sock, watcher)
        try:
            self._post(call)
            return result.get()
        finally:
            self._result_by_call.pop(call.call_id, None)
            watcher.stop()
            watcher.close()

    def _on_readable(self, call_id: str, sock, watcher) -> None:
        watcher.stop()
        try:
            is_closed = sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            is_closed = False
        except OSError:
            is_closed = True
        if is_closed:
            gevent.spawn(self._abandon, call_id)

    def _abandon(self, call_id: str) -> None:
        result = self._result_by_call.pop(call_id, None)
        if result is not None:
            self._post(CallAbandoned(call_id))
            result.set(AnswerCall(call_id, Verdict.UNKNOWN, "abandoned"))


def _call_from_request(calls: Calls, workspace: str, service: str) -> CallArrived:
    environ = bottle.request.environ
    request = Request(
        method=environ["REQUEST_METHOD"],
        path=_target(environ, f"/{workspace}/{service}"),
        headers=_request_headers(environ),
        body=_read_body(),
    )
    fields = bottle.request.headers
    return CallArrived(
        call_id=calls.next_id(),
        request_id=fields.get(headers.REQUEST_ID, "")[:128] or secrets.token_hex(8),
        service=f"{workspace}/{service}",
        customer=fields.get(headers.CUSTOMER, "anonymous")[:64],
        request_class=fields.get(headers.REQUEST_CLASS, "")[:64],
        request=request,
        deadline_ms=_header_number(headers.DEADLINE_MS, 0.0, 0, 600_000),
        depth=int(_header_number(headers.DEPTH, 0, 0, 64)),
        retry_budget=_header_number(headers.RETRY_BUDGET, 1.0, 0, 100),
    )


def _verdict_headers(call: CallArrived, answer: AnswerCall) -> list[tuple[str, str]]:
    fields = [
        (headers.VERDICT, answer.verdict.value),
        (headers.REQUEST_ID, call.request_id),
        (headers.ATTEMPTS, str(answer.attempts)),
    ]
    if answer.endpoint:
        fields.append((headers.ENDPOINT, answer.endpoint))
    if answer.reason:
        fields.append((headers.REASON, answer.reason))
    if answer.retry_after_ms:
        fields.append(("Retry-After", f"{max(1, round(answer.retry_after_ms / 1000))}"))
        fields.append((headers.RETRY_AFTER_MS, f"{answer.retry_after_ms:.0f}"))
    return fields


def _forward_response(response: Response, fields: list[tuple[str, str]]) -> bottle.HTTPResponse:
    reply = bottle.HTTPResponse(response.body, response.status)
    for name, value in [*response.headers, *fields]:
        reply.add_header(name, value)
    return reply


def _error_response(answer: AnswerCall, fields: list[tuple[str, str]]) -> bottle.HTTPResponse:
    if answer.reason == "leaving":
        fields = [*fields, ("Connection", "close")]
    body = {
        "verdict": answer.verdict.value,
        "reason": answer.reason,
        "detail": answer.detail,
    }
    reply = bottle.HTTPResponse(body, status_of(answer))
    for name, value in fields:
        reply.add_header(name, value)
    return reply


def make_call_app(calls: Calls) -> bottle.Bottle:
    """Return the WSGI application for callers."""
    app = bottle.Bottle()
    app.default_error_handler = lambda error: f"{error.body}\n"

    @app.route("/<workspace>/<service>", method="ANY")
    @app.route("/<workspace>/<service>/<path:path>", method="ANY")
    def call(workspace: str, service: str, path: str = ""):
        arrived = _call_from_request(calls, workspace, service)
        answer = calls.run(arrived, bottle.request.environ["pollenroad.socket"])
        fields = _verdict_headers(arrived, answer)
        if answer.response is None:
            return _error_response(answer, fields)
        return _forward_response(answer.response, fields)

    return app


class CallServer(WSGIServer):
    """HTTP server for callers, with the limits that its handlers apply."""

    idle_timeout_s = 60.0
    """Time without progress of a read or write after which a connection is closed, in seconds."""
    max_header_bytes = MAX_HEADER_BYTES


def make_call_server(
    address: str,
    app: bottle.Bottle,
    max_connections: int,
    idle_timeout_s: float = CallServer.idle_timeout_s,
    max_header_bytes: int = MAX_HEADER_BYTES,
) -> CallServer:
    """Return the HTTP server for callers on `address`, not yet started."""
    server = CallServer(
        split_address(address),
        app,
        handler_class=CallHandler,
        spawn=max_connections,
        log=None,
        error_log=None,
        backlog=1024,
    )
    server.idle_timeout_s = idle_timeout_s
    server.max_header_bytes = max_header_bytes
    return server
