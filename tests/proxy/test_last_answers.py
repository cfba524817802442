"""The last answers of a connection, and answers without a body."""

import socket
import unittest
from dataclasses import replace

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
        with gevent.Timeout(WAIT_S):
            self.sock.recv(1, socket.MSG_PEEK)  # The answer is being written.
            self._send("/b")
            _, headers, body = read_message(self.stream)
            self.assertEqual((headers["connection"], len(body)), ("close", len(LONG_BODY)))
            self.assertEqual(self.stream.read(), b"")
        self.assertEqual([event.request.path for event in self.arrived], ["/a"])

    # h11 refused the body of the daemon's own answer to HEAD, and the connection was closed.
    def test_every_answer_is_framed_as_its_method_and_status_ask(self):
        own = [
            AnswerCall("", Verdict.NOT_RUN, "no-endpoint", retry_after_ms=100),
            AnswerCall("", Verdict.NOT_RUN, "no-route"),
            AnswerCall("", Verdict.UNKNOWN, "timeout"),
            AnswerCall("", Verdict.UNKNOWN, "reset"),
        ]
        of_servers = [
            AnswerCall("", Verdict.RAN, "", Response(status, (), body))
            for status, body in ((200, b"whole"), (404, b"none"), (204, b""), (304, b""))
        ]
        for method in ("GET", "POST", "HEAD"):
            for answer in (*own, *of_servers):
                with self.subTest(method=method, answer=answer):
                    self._check_framing(method, answer)

    def _check_framing(self, method: str, answer: AnswerCall) -> None:
        if method == "HEAD" and answer.response:
            answer = replace(answer, response=Response(answer.response.status))
        count = len(self.arrived)
        for path in ("/a", "/b"):
            self._send(path, method)
        self._await_arrived(count + 2)
        for event in self.arrived[count:]:
            self.callers.answer(replace(answer, call_id=event.call_id))
        with gevent.Timeout(WAIT_S):
            for _ in range(2):
                self.assertEqual(self.stream.readline().split()[0], b"HTTP/1.1")
                length = 0
                while (line := self.stream.readline()) != b"\r\n":
                    name, _, value = line.lower().partition(b":")
                    length = int(value) if name == b"content-length" else length
                if method != "HEAD":
                    self.assertEqual(len(self.stream.read(length)), length)


if __name__ == "__main__":
    unittest.main()
