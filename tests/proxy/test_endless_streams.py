"""A server that sends bytes without end must neither stop its daemon nor fill its memory."""

import tracemalloc
import unittest

import gevent
from gevent import socket as gsocket
from gevent.event import AsyncResult
from gevent.server import StreamServer

from pollenroad.boundary import ServerFailed
from pollenroad.exceptions import ExchangeError
from pollenroad.messages import Attempt, Request
from pollenroad.proxy.http1 import ClientConnection
from pollenroad.shell.upstream import Upstream

CONNECT_TIMEOUT_S = 5.0
EXCHANGE_TIMEOUT_S = 3.0
MEMORY_SLACK_BYTES = 2_097_152
OWN_INTERFACE_BYTES = 3 * 8_388_608
"""A body of the product's own interface exists up to three times while it is put together."""

OWN_INTERFACE_TIMEOUT_S = 30.0
STATED_BODY_BYTES = 2 * 8_388_608
"""A body exists twice when it is complete: in the parser's buffer and in the answer."""

OK = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
STREAMS = {
    "informational heads": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "one head": (OK + b"X-Long: ", b"a"),
    "header fields": (OK, b"X-Field: value\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "a chunk extension": (CHUNKED + b"1;", b"a"),
    "chunk extensions": (CHUNKED, b"1;" + b"e" * 500 + b"\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: value\r\n"),
    "a body without a length": (OK + b"\r\n", b"x" * 512),
    "a body longer than the bound": (OK + b"Content-Length: 99999999999\r\n\r\n", b"x" * 512),
    "answers to other requests": (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
    "empty lines": (b"", b"\r\n"),
}
"""Beginning of a stream, and the part that is repeated without end."""


def _serve_endlessly(beginning: bytes, repeated: bytes):
    def handle(sock, _remote):
        try:
            sock.recv(65_536)
            sock.sendall(beginning)
            block = repeated * max(1, 65_536 // len(repeated))
            while True:
                sock.sendall(block)
        except OSError:
            return  # The client closed the connection.

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    return server


class EndlessStreamTest(unittest.TestCase):
    def _exchange(self, beginning: bytes, repeated: bytes) -> tuple[str, int]:
        """Return how the exchange ended, and the longest run of reads between two ticks."""
        server = _serve_endlessly(beginning, repeated)
        reads_between_ticks = [0]
        real_recv = gsocket.socket.recv

        def counting_recv(sock, *args):
            reads_between_ticks[-1] += 1
            return real_recv(sock, *args)

        def tick():
            while True:
                gevent.sleep(0)
                reads_between_ticks.append(0)

        ticker = gevent.spawn(tick)
        gsocket.socket.recv = counting_recv
        try:
            address = f"127.0.0.1:{server.server_port}"
            connection = ClientConnection(address, CONNECT_TIMEOUT_S)
            with gevent.Timeout(EXCHANGE_TIMEOUT_S):
                connection.exchange("GET", "/", [("Host", "x")], b"", lambda reply: True)
        except ExchangeError as error:
            self.assertTrue(error.reached, "the request was sent, so it may have run")
            return str(error), max(reads_between_ticks)
        except gevent.Timeout:
            return "timeout", max(reads_between_ticks)
        finally:
            gsocket.socket.recv = real_recv
            ticker.kill()
            connection.close()
            server.stop()
        raise AssertionError("an endless stream is no answer")

    def test_an_endless_stream_ends_at_a_bound_while_other_tasks_run(self):
        for name, (beginning, repeated) in STREAMS.items():
            with self.subTest(stream=name):
                tracemalloc.start()
                try:
                    end, reads = self._exchange(beginning, repeated)
                    _, peak_bytes = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertNotEqual(end, "timeout", "only the timeout of the exchange ended it")
                self.assertLessEqual(reads, 3, "reads without a turn for other tasks")
                self.assertLess(peak_bytes, STATED_BODY_BYTES + MEMORY_SLACK_BYTES)

    def _exchange_own(self, beginning: bytes, repeated: bytes) -> str:
        """Return how an exchange of a guard of the product's own interface ends."""
        server = _serve_endlessly(beginning, repeated)
        address, result = f"127.0.0.1:{server.server_port}", AsyncResult()
        try:
            upstream = Upstream(address, result.set)
            request = Request("GET", "/", ())
            upstream.run(
                Attempt("a-1", "r-1", "w/s", "c", "read", True, 1000.0, request),
                OWN_INTERFACE_TIMEOUT_S,
            )
            event = result.get(timeout=OWN_INTERFACE_TIMEOUT_S)
        finally:
            server.stop()
        self.assertIsInstance(event, ServerFailed)
        return event.reason

    def test_an_endless_stream_ends_at_a_bound_in_the_own_interface(self):
        """A guard kept a body until it had no memory left."""
        whole = "answers to other requests"  # Responses carry no id here.
        streams = {name: stream for name, stream in STREAMS.items() if name != whole}
        for name, (beginning, repeated) in streams.items():
            with self.subTest(stream=name):
                tracemalloc.start()
                try:
                    reason = self._exchange_own(beginning, repeated)
                    _, peak_bytes = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertNotEqual(reason, "deadline", "only the timeout of the exchange ended it")
                self.assertLess(peak_bytes, OWN_INTERFACE_BYTES + MEMORY_SLACK_BYTES)


if __name__ == "__main__":
    unittest.main()
