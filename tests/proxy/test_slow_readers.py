"""A server that lives but reads nothing for a while is not a lost one."""

import socket
import unittest
from unittest import mock

import gevent
from gevent.server import StreamServer

from pollenroad.proxy.http1 import ClientConnection
from pollenroad.shell import sockets

UPLOAD = b"u" * 7_340_032
UNACKNOWLEDGED_MS = 100
UNREAD_S = 1.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class SlowReaderTest(unittest.TestCase):
    def setUp(self):
        short = mock.patch.object(sockets, "UNACKNOWLEDGED_MS", UNACKNOWLEDGED_MS)
        short.start()
        self.addCleanup(short.stop)
        self.received: list[int] = []
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        self.addCleanup(server.stop)
        self.connection = ClientConnection(f"127.0.0.1:{server.server_port}", 1.0)
        self.addCleanup(self.connection.close)

    def _serve(self, sock, _remote) -> None:
        """Read each head at once, and a body only after a while."""
        stream = sock.makefile("rb")
        while True:
            length = 0
            while (line := stream.readline()) not in (b"\r\n", b""):
                name, _, value = line.partition(b":")
                length = int(value) if name.lower() == b"content-length" else length
            if not line:
                return
            gevent.sleep(UNREAD_S if length else 0)
            self.received.append(len(stream.read(length)))
            sock.sendall(ANSWER)

    def test_an_upload_is_not_cut_off_while_its_server_reads_nothing(self):
        """To the system a closed window was a lost peer: the request ended while it was at work."""
        reply = self.connection.exchange("POST", "/", [("Host", "x")], UPLOAD)
        self.assertEqual((reply.status, self.received), (200, [len(UPLOAD)]))

    def test_a_lost_peer_is_found_soon_after_an_upload(self):
        self.connection.exchange("POST", "/", [("Host", "x")], UPLOAD)
        self.assertTrue(self.connection.exchange("GET", "/", [("Host", "x")]).can_reuse)
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(self.connection._sock.getsockopt(*option), UNACKNOWLEDGED_MS)


if __name__ == "__main__":
    unittest.main()
