"""Stand-in for one of the users' servers, with their possible faults."""

import os
import socket
import struct
import threading
import time
from collections import Counter
from socketserver import StreamRequestHandler, ThreadingTCPServer

from tests.users.raw_http import answer_bytes, read_message
from tests.users.store import StandInStore

BLOCK = os.urandom(65_536)
"""Repeated in long answers; longer than the compression window of frames between daemons."""

INFORMATIONAL_ANSWERS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 500

OK_HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
ENDLESS = {
    "endless": (b"", INFORMATIONAL_ANSWERS),
    "endless-noise": (b"", bytes(range(256)) * 256),
    "endless-line": (OK_HEAD + b"X-Long: ", b"a" * 65_536),
    "endless-head": (OK_HEAD, b"X-Field: value\r\n" * 4_096),
    "endless-body": (OK_HEAD + b"\r\n", b"b" * 65_536),
    "endless-chunks": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 8_192),
    "endless-trailers": (
        OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Field: value\r\n" * 4_096
    ),
}  # fmt: skip
"""Faults that send until the connection is closed: how they begin, and what they repeat."""

ODD_HEADS = {
    "status-000": (b" 200 ", b" 000 "),
    "status-600": (b" 200 ", b" 600 "),
    "status-999": (b" 200 ", b" 999 "),
    "version": (b"HTTP/1.1", b"HTTP/9.9"),
    "space-in-name": (b"X-Attempt-Id", b"X Note: v\r\nX-Attempt-Id"),
    "control-in-name": (b"X-Attempt-Id", b"X\x01: v\r\nX-Attempt-Id"),
    "control-in-value": (b"X-Attempt-Id", b"X-Note: \x01\r\nX-Attempt-Id"),
    "two-framings": (b"X-Attempt-Id", b"Transfer-Encoding: chunked\r\nX-Attempt-Id"),
    "two-lengths": (b"X-Attempt-Id", b"Content-Length: 1\r\nX-Attempt-Id"),
}
"""Faults of a head: a part of a valid one, and what is sent in its place."""


class _Server(ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


class StandInServer:
    """A server on a loopback address that registers itself in the store.

    Attributes:
        fault: Empty, or the fault of its answers: `cut`, `cut-head`, `extra`, `unsigned`, `other`,
            `encoded`, `refuse` (503 that does not state that the request has not run), `shed` (503
            that states it), `error` (500), `reset`, `silent`, `unframed`, one of `ENDLESS`,
            `late-copy` (each answer once more when the
            next request has arrived), `shed-copy` (the same, and every other request is refused
            with its id, as not run), `early-reset` (an answer without a length that breaks off by
            a reset while its request is being sent), or one of `ODD_HEADS`.
        service_s: Service time in seconds, at a slowness of 100.
        slowness: Factor on the service time, in percent.
        statements: Fields that every answer states about the server, such as `Server-Limit`.
        shed_ids: Ids of requests that are answered with the fault `shed`.
        runs: Number of runs of each request, by id.
        headers_by_attempt: Headers of each request that arrived, or None to keep none.
        misdeliveries: Ids of requests that arrived without a deadline or a caller.
    """

    def __init__(
        self,
        store: StandInStore,
        host: str,
        port: int,
        service: str,
        failure_domain: str,
        published_address: str = "",
    ):
        self.fault = ""
        self.service_s = 0.005
        self.slowness = 100
        self.statements: dict[str, str] = {}
        self.cold_until = 0.0
        self.shed_ids: set[str] = set()
        self.runs: Counter[str] = Counter()
        self.arrived_at: list[float] = []
        self.callers: set[str] = set()
        self.incomplete_requests: list[str] = []
        self.headers_by_attempt: dict[str, dict[str, str]] | None = None
        self.is_draining = False
        self.born = 1
        self._store = store
        self._service, self._failure_domain = service, failure_domain
        self._running = 0
        self._requests = 0
        self._lock = threading.Lock()
        self.id = f"i-{host.replace('.', '-')}-{port}-{time.monotonic_ns()}"
        self.address = published_address or f"{host}:{port}"
        server = self

        class Handler(StreamRequestHandler):
            def handle(self):
                try:
                    server._serve(self)
                except OSError:
                    return  # The guard cancelled the request by closing the connection.

        self._server = _Server((host, port), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.register()

    def register(self, state: str = "ready", cold_ms: int = 0) -> None:
        """Write the registration of this server to the store."""
        self.is_draining = state == "draining"
        self._store.put(f"servers/{self.id}", self.entry(state, cold_ms))

    def entry(self, state: str = "ready", cold_ms: int = 0) -> dict:
        """Return the registration of this server."""
        return {
            "service": self._service,
            "addr": self.address,
            "zone": self._failure_domain,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left": f"{cold_ms}ms",
            "seq": 1,
            "born": self.born,
        }

    def restart(self) -> None:
        """Start again under the same id: what it had stated of itself no longer holds."""
        self.born += 1
        self.statements = {}
        self.register()

    def deregister(self) -> None:
        """Remove the registration, as when its lease expires."""
        self._store.delete(f"servers/{self.id}")

    def close(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()

    def _serve(self, handler: StreamRequestHandler) -> None:
        previous = b""
        while (message := self._read(handler)) is not None:
            first, headers, body = message
            if self.fault in ("late-copy", "shed-copy"):
                handler.wfile.write(previous)
            method, path, _ = first.split()
            if path == "/healthz":
                answer = self._health()
            else:
                answer = self._run(handler, method, path, headers, body)
            if answer is None:
                return
            handler.wfile.write(answer)
            previous = answer
            if self.fault == "early-reset" and path != "/healthz":
                linger = struct.pack("ii", 1, 0)  # Makes the close send a reset.
                handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                handler.connection.close()
                return
            if self.fault in ("cut", "cut-head", "unframed") and path != "/healthz":
                return

    def _read(self, handler: StreamRequestHandler) -> tuple[str, dict[str, str], bytes] | None:
        return read_message(handler.rfile, has_body=self.fault != "early-reset")

    def _health(self) -> bytes:
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        fields = self._load() | {"X-Instance-Id": self.id, "X-Cold-Ms": str(cold_ms)}
        return answer_bytes(503 if self.is_draining else 200, fields, b"")

    def _load(self) -> dict[str, str]:
        return {"X-Server-Load": f"{self._running},0,8,{self.slowness}"} | self.statements

    def _run(self, handler, method: str, path: str, headers: dict, body: bytes) -> bytes | None:
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", "")
        if expected != self.id:
            return answer_bytes(421, {"X-Instance-Id": self.id}, b"")
        if "x-deadline-ms" not in headers or "x-caller-service" not in headers:
            self.incomplete_requests.append(attempt)
        if self.headers_by_attempt is not None:
            self.headers_by_attempt[attempt] = headers
        self.callers.add(headers.get("x-caller-service", ""))
        if self.fault == "shed" or attempt in self.shed_ids:
            return answer_bytes(503, {"X-Not-Executed": "1"}, b"")
        with self._lock:
            self._requests += 1
            if self.fault == "shed-copy" and self._requests % 2:
                return answer_bytes(503, {"X-Not-Executed": "1", "X-Attempt-Id": attempt}, b"")
            self._running += 1
            self.runs[attempt] += 1
            self.arrived_at.append(time.monotonic())
        time.sleep(self.service_s * self.slowness / 100)
        with self._lock:
            self._running -= 1
        content = f"{method} {path} {len(body)}".encode()
        if "/long-" in path:  # The path ends with the length of the answer.
            length = int(path.rpartition("-")[2])
            content = (BLOCK * (length // len(BLOCK) + 1))[:length]
        answer = self._answer(handler, attempt, content)
        if answer and "x-note" in headers:
            note = f"\r\nX-Note: {headers['x-note']}\r\n".encode("latin-1")
            return answer.replace(b"\r\n", note, 1)
        return answer

    def _answer(self, handler, attempt: str, body: bytes) -> bytes | None:
        fields = self._load() | {"X-Attempt-Id": attempt, "X-Response-Signature": f"sig.{attempt}"}
        whole = answer_bytes(200, fields, body)
        if self.fault in ODD_HEADS:
            return whole.replace(*ODD_HEADS[self.fault], 1)
        match self.fault:
            case "cut":
                return whole[:-3]
            case "cut-head":
                return whole[: whole.index(b"\r\n\r\n") - 1]
            case "extra":
                return whole + answer_bytes(200, fields, b"again")
            case "unsigned":
                return answer_bytes(200, {"X-Attempt-Id": attempt}, body)
            case "other":
                return answer_bytes(200, fields | {"X-Attempt-Id": "other"}, body)
            case "encoded":
                return answer_bytes(200, fields | {"Content-Encoding": "gzip"}, body)
            case "refuse":
                return answer_bytes(503, fields, b"")
            case "error":
                return answer_bytes(500, fields, b"broken")
            case "reset":
                return None
            case "silent":
                time.sleep(30)
            case endless if endless in ENDLESS:
                beginning, repeated = ENDLESS[endless]
                handler.wfile.write(beginning)
                while True:
                    handler.wfile.write(repeated)
            case "unframed" | "early-reset":
                return answer_bytes(200, fields | {"Connection": "close"}, body, framed=False)
        return whole
