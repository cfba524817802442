"""Tests of the exchange with the server: each has exactly one end, of the right kind."""

import socket
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from unittest import mock

import gevent

from pollenroad.boundary import ServerAnswered, ServerFailed, ServerProbed
from pollenroad.coldstart import SERVER_RESET, SERVER_UNREACHABLE
from pollenroad.messages import Request
from pollenroad.upstream import Upstream
from tests.guards import attempt

ANSWER_AFTER_S = 0.1


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802
        if self.path == "/reset":
            self.close_connection = True
            return
        time.sleep(ANSWER_AFTER_S)
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.send_header("X-Server-Incarnation", "one")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, *arguments):
        pass


class UpstreamTest(unittest.TestCase):
    def setUp(self):
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.events = []
        self.upstream = Upstream(f"127.0.0.1:{self.server.server_port}", self.events.append)

    def run_one(self, path: str):
        self.upstream.run(attempt(1, request=Request("GET", path)), timeout_s=5.0)
        gevent.wait(timeout=5.0)
        (event,) = self.events
        return event

    def test_an_answer_may_take_longer_than_the_opening_of_a_connection(self):
        with mock.patch("pollenroad.upstream.CONNECT_TIMEOUT_S", ANSWER_AFTER_S / 4):
            event = self.run_one("/")
        self.assertIsInstance(event, ServerAnswered)
        self.assertEqual(event.response.body, b"ok")

    def test_a_connection_that_breaks_is_told_from_other_failures(self):
        self.assertEqual(self.run_one("/reset"), ServerFailed("entry-1", True, SERVER_RESET))

    def test_a_server_that_does_not_listen_was_not_reached(self):
        with socket.socket() as silent:
            silent.bind(("127.0.0.1", 0))
            self.upstream = Upstream(f"127.0.0.1:{silent.getsockname()[1]}", self.events.append)
            event = self.run_one("/")
        self.assertEqual(event, ServerFailed("entry-1", False, SERVER_UNREACHABLE))

    def test_an_exchange_cancelled_before_it_began_has_an_end(self):
        self.upstream.run(attempt(1), timeout_s=5.0)
        self.upstream.cancel("entry-1")
        gevent.wait(timeout=5.0)
        self.assertEqual(self.events, [ServerFailed("entry-1", False, "cancelled")])

    def test_a_probe_brings_the_incarnation(self):
        self.upstream.probe(timeout_s=5.0)
        gevent.wait(timeout=5.0)
        self.assertEqual(self.events, [ServerProbed(True, "one")])
