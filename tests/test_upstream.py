"""The exchange with a server, over a real socket on an ephemeral port."""

import unittest

import bottle
import gevent
from gevent.event import AsyncResult
from gevent.pywsgi import WSGIServer

from pollenroad.boundary import ServerProbed
from pollenroad.upstream import PROBE_PATH, Upstream


def make_server(status: int, **headers) -> WSGIServer:
    app = bottle.Bottle()
    reply = bottle.HTTPResponse("{}", status, **headers)
    app.route(PROBE_PATH, callback=lambda: reply)
    server = WSGIServer(("127.0.0.1", 0), app, log=None, error_log=None)
    server.start()
    return server


def probe(address: str) -> ServerProbed:
    result = AsyncResult()
    Upstream(address, result.set).probe(1.0)
    with gevent.Timeout(10):
        return result.get()


class ProbeTest(unittest.TestCase):
    def test_a_probe_that_the_server_answers_succeeds(self):
        server = make_server(200, X_Server_Incarnation="i7")
        try:
            self.assertEqual(probe(f"127.0.0.1:{server.server_port}"), ServerProbed(True, "i7"))
        finally:
            server.stop()

    def test_a_probe_fails_where_the_server_refuses_or_is_not_there(self):
        server = make_server(503)
        address = f"127.0.0.1:{server.server_port}"
        try:
            self.assertFalse(probe(address).succeeded)
        finally:
            server.stop()
        self.assertFalse(probe(address).succeeded)
