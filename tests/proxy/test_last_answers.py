"""The last answers of a connection, and answers without a body."""

import unittest

import gevent

from pollenroad.boundary import AnswerCall
from pollenroad.messages import Response
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.caller_connection import make_caller_server
from pollenroad.proxy.callers import Callers
from pollenroad.proxy.dialect import Dialect
from pollenroad.verdicts import Verdict
from tests.users.raw_http import read_message, request_bytes

WAIT_S = 5.0
LONG_BODY = bytes(16_777_216)
"""More than the buffers of a connection hold, so that writing it waits for the reader."""


class LastAnswerTest(unittest.TestCase):
    def setUp(self):
        self.arrived: list[RequestArrived] = []
        self.callers = Callers(Dialect(), self._post)
        server = make_caller_server("127.0.0.1:0", self.callers)
        server.start()
        self.addCleanup(server.stop)
        self.sock = gevent.socket.create_connection(("127.0.0.1", server.server_port), WAIT_S)
        self.addCleanup(self.sock.close)
        self.stream = self.sock.makefile("rb")

    def _post(self, event):
        if isinstance(event, RequestArrived):
            self.arrived.append(event)

    def _send(self, path: str, method: str = "GET") -> None:
        self.sock.sendall(request_bytes(method, path, {"Host": "x"}))

    def _await_arrived(self, count: int) -> None:
        with gevent.Timeout(WAIT_S):
            while len(self.arrived) < count:
                gevent.sleep(0.01)

    # A request that was read while the last answer was written was passed on, and cut off.

    def test_no_request_is_passed_on_behind_the_last_answer_of_a_stopping_daemon(self):
        self._send("/a")
        self._await_arrived(1)
        self.callers.is_closing = True
        response = Response(200, (), LONG_BODY)
        self.callers.answer(AnswerCall(self.arrived[0].call_id, Verdict.RAN, "", response))
        gevent.sleep(0)  # The writing task starts, and waits for this reader.
        self._send("/b")
        with gevent.Timeout(WAIT_S):
            _, headers, body = read_message(self.stream)
            self.assertEqual((headers["connection"], len(body)), ("close", len(LONG_BODY)))
            self.assertEqual(self.stream.read(), b"")
        self.assertEqual([event.request.path for event in self.arrived], ["/a"])

    # KNOWN-RED 20: h11 refuses the body of the daemon's own answer, and the connection is closed.
    @unittest.expectedFailure
    def test_a_head_request_gets_an_answer_of_the_daemons_own(self):
        self._send("/a", "HEAD")
        self._await_arrived(1)
        refusal = AnswerCall(self.arrived[0].call_id, Verdict.NOT_RUN, "no-endpoint")
        self.callers.answer(refusal)
        with gevent.Timeout(WAIT_S):
            self.assertIn(b"503", self.stream.readline())


if __name__ == "__main__":
    unittest.main()
