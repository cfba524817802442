"""Every place that reads responses, behind one function each, for tests with fixed bytes."""

import sys
from collections.abc import Callable
from pathlib import Path

from gevent.event import AsyncResult
from gevent.server import StreamServer

import pollenroad
from pollenroad import Client, Verdict
from pollenroad.boundary import DocumentRead, ReadDocument, ServerAnswered
from pollenroad.exceptions import ExchangeError, UnreadableAnswer
from pollenroad.messages import Attempt, Request
from pollenroad.operators.operator_ports import read_all
from pollenroad.proxy.boundary import ServerSeen
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.upstream import Upstream
from pollenroad.shell.platform import Platform
from pollenroad.shell.upstream import Upstream as ShellUpstream
from tests.proxy.samples import attempt

sys.path.insert(0, str(Path(pollenroad.__file__).parents[2] / "platform"))

from store import Store  # noqa: E402 (after the path is set)

TIMEOUT_S = 5.0
DIALECT = Dialect()
FIELDS = (
    f"{DIALECT.request_id}: q1\r\n{DIALECT.signature}: s\r\nPollenroad-Verdict: ran\r\n".encode()
)
"""Fields that the places require of a response; each ignores those of the others."""

BODY = b'{"items":[],"truncated":false,"current_rev":1}'
"""A body that every place accepts."""


class FixedServer:
    """A server that answers each request with the same bytes, and closes after it."""

    def __init__(self):
        self.data = b""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock, _remote) -> None:
        try:
            sock.recv(65_536)
            sock.sendall(self.data)
        except OSError:
            return  # The client has closed the connection.

    def stop(self) -> None:
        """Close the listening socket."""
        self._server.stop()


def _event_of(run: Callable[[Callable], None]) -> object:
    result = AsyncResult()
    run(result.set)
    return result.get(timeout=TIMEOUT_S)


def is_accepted_from_server(address: str) -> bool:
    """Return whether a guard of the proxy accepts the response to an attempt."""
    request = Request("GET", "/", (("Host", "x"), (DIALECT.request_id, "q1")))

    def run(post):
        upstream = Upstream(address, DIALECT, post)
        upstream.run(attempt(request=request), TIMEOUT_S)

    return isinstance(_event_of(run), ServerAnswered)


def is_accepted_as_health(address: str) -> bool:
    """Return whether a health check accepts the response."""

    def run(post):
        Upstream(address, DIALECT, post).check("/health", TIMEOUT_S)

    return isinstance(_event_of(run), ServerSeen)


def is_accepted_from_store(address: str) -> bool:
    """Return whether the client of the platform's store accepts the response."""
    store = Store(address, 1)
    try:
        return store.read().revision == 1
    except (ExchangeError, UnreadableAnswer):
        return False
    finally:
        store.close()


def is_accepted_by_shell(address: str) -> bool:
    """Return whether a guard of the product's own interface accepts the response."""
    request = Request("GET", "/", ())

    def run(post):
        upstream = ShellUpstream(address, post)
        upstream.run(Attempt("a", "q1", "w/s", "c", "r", True, 1000.0, request), TIMEOUT_S)

    return isinstance(_event_of(run), ServerAnswered)


def is_accepted_as_probe(address: str) -> bool:
    """Return whether a probe of the product's own interface accepts the response."""
    return _event_of(lambda post: ShellUpstream(address, post).probe(TIMEOUT_S)).succeeded


def is_accepted_by_client(address: str) -> bool:
    """Return whether the library for Python callers accepts the response."""
    reply = Client([address], max_tries=1, deadline_s=TIMEOUT_S).get("w/s", "/")
    return reply.verdict is Verdict.RAN and reply.body == BODY


def is_accepted_from_platform(address: str) -> bool:
    """Return whether the client of the product's own platform accepts the response."""
    event = Platform((address,)).answer(ReadDocument("key"))
    return isinstance(event, DocumentRead) and event.data == BODY


def is_accepted_from_operator_port(address: str) -> bool:
    """Return whether the commands for operators accept the response."""
    (response,) = read_all([address], "/x")
    return response.data is not None


PLACES = (
    is_accepted_from_server,
    is_accepted_as_health,
    is_accepted_from_store,
    is_accepted_by_shell,
    is_accepted_as_probe,
    is_accepted_by_client,
    is_accepted_from_platform,
    is_accepted_from_operator_port,
)
