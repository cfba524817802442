"""An answer that breaks off at any byte is never complete."""

import socket
import struct
import unittest

import gevent
import h11
from gevent.server import StreamServer

from pollenroad.exceptions import ExchangeError
from pollenroad.proxy.byte_budget import ByteBudget
from pollenroad.proxy.http1 import ClientConnection
from pollenroad.proxy.reply_parser import NeedData, Reply, ReplyLimits, ReplyParser

HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 12\r\n\r\nwhole answer"
CHUNKED = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n7\r\n answer\r\n0\r\nX-T: v\r\n\r\n"
)
UNFRAMED = HEAD + b"Connection: close\r\n\r\nwhole answer"
BODILESS = (
    HEAD + b"Content-Length: 0\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nX-Response-Signature: s\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nX-Response-Signature: s\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"Content-Length: 0\r\n\r\n",
)
TIMEOUT_S = 5.0


def make_parser(limits: ReplyLimits = ReplyLimits(), budget_bytes: int = 1_000_000):  # noqa: B008
    request = h11.Request(method="GET", target="/", headers=[("Host", "x")])
    return ReplyParser(request, b"", limits, ByteBudget(budget_bytes))


def parse(data: bytes, parser: ReplyParser | None = None) -> Reply:
    parser = parser or make_parser()
    parser.step()
    parser.receive(data)
    while not isinstance(step := parser.step(), Reply):
        if isinstance(step, NeedData):
            parser.receive(b"")
    return step


class ReplyParserTest(unittest.TestCase):
    def test_a_whole_answer_is_complete(self):
        for data in (WITH_LENGTH, CHUNKED, UNFRAMED):
            self.assertEqual(parse(data).body, b"whole answer")

    def test_an_answer_cut_at_any_byte_is_not(self):
        for data in (WITH_LENGTH, CHUNKED):
            for length in range(1, len(data)):
                with self.subTest(data=data[:length]):
                    self.assertRaises((ExchangeError, h11.ProtocolError), parse, data[:length])

    # A report of other operators: a server stopped in a head, and callers got a 200 without a body.
    def test_a_head_cut_at_any_byte_is_no_answer(self):
        for data in BODILESS:
            self.assertEqual(parse(data).body, b"")
            for length in range(1, len(data)):
                with self.subTest(data=data[:length]):
                    self.assertRaises((ExchangeError, h11.ProtocolError), parse, data[:length])

    def test_an_answer_without_a_length_ends_with_its_connection_but_not_before_its_body(self):
        end_of_head = UNFRAMED.index(b"\r\n\r\n") + 4
        for length in range(1, end_of_head):
            with self.subTest(data=UNFRAMED[:length]):
                self.assertRaises((ExchangeError, h11.ProtocolError), parse, UNFRAMED[:length])

    def test_bodies_share_a_budget_that_is_returned(self):
        budget = ByteBudget(12)
        request = h11.Request(method="GET", target="/", headers=[("Host", "x")])
        first, second = (ReplyParser(request, b"", ReplyLimits(), budget) for _ in range(2))
        parse(WITH_LENGTH, first)
        self.assertRaises(ExchangeError, parse, WITH_LENGTH, second)
        first.release()
        first.release()
        self.assertEqual(budget.used_bytes, 0)


class ResetTest(unittest.TestCase):
    def test_an_answer_whose_connection_is_reset_is_not_complete(self):
        def handle(sock, _remote):
            sock.recv(65_536)
            sock.sendall(UNFRAMED[:-1])
            # A zero linger time makes the close send a reset.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock._sock.close()

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.addCleanup(server.stop)
        connection = ClientConnection(f"127.0.0.1:{server.server_port}", TIMEOUT_S)
        self.addCleanup(connection.close)
        with gevent.Timeout(TIMEOUT_S), self.assertRaises(ExchangeError):
            connection.exchange("GET", "/", [("Host", "x")])


if __name__ == "__main__":
    unittest.main()
