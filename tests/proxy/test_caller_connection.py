"""Answers to callers that HTTP, or the writing task, cannot carry."""

import unittest
from dataclasses import replace
from unittest import mock

import gevent

from pollenroad.boundary import AnswerCall
from pollenroad.messages import Response
from pollenroad.proxy import caller_connection, exchanges
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.caller_connection import (
    MAX_PIPELINED,
    MAX_UNWRITTEN_BYTES,
    make_caller_server,
)
from pollenroad.proxy.callers import Callers
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.memory.account import Purpose
from pollenroad.published import CallerLimits
from pollenroad.verdicts import Verdict
from tests.users.raw_http import read_message, request_bytes

WAIT_S = 5.0
NAME = "Zo\u00e9"


class CallerConnectionTest(unittest.TestCase):
    def setUp(self):
        self.arrived: list[RequestArrived] = []
        self.fields_by_path: dict[str, tuple] = {}
        self.is_answering = True
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
            if self.is_answering:
                self._answer(event)

    def _answer(self, event: RequestArrived):
        path = event.request.path
        response = Response(200, self.fields_by_path.get(path, ()), path.encode())
        self.callers.answer(AnswerCall(event.call_id, Verdict.RAN, "", response))

    def _send(self, *paths: str, **fields: str):
        for path in paths:
            self.sock.sendall(request_bytes("GET", path, {"Host": "x"} | fields))

    def _read(self) -> tuple[int, dict, bytes] | None:
        with gevent.Timeout(WAIT_S):
            message = read_message(self.stream)
        return message and (int(message[0].split()[1]), message[1], message[2])

    def _await_end(self):
        with gevent.Timeout(WAIT_S):
            self.assertEqual(self.stream.read(), b"")
            while self.callers.open_requests or self.callers.reading:
                gevent.sleep(0.01)

    # The reading task waited for room and the writing task for an answer, neither of which came.
    def test_a_connection_that_waits_for_an_answer_can_be_closed_for_memory(self):
        self.is_answering = False
        self._send("/a", "/b")
        self._await_arrived(2)
        response = Response(200, (), bytes(MAX_UNWRITTEN_BYTES + 1))
        self.callers.answer(AnswerCall(self.arrived[1].call_id, Verdict.RAN, "", response))
        self._send("/c")
        (connection,) = self.callers.connections
        gevent.sleep(0.05)
        connection.close_for_memory()
        self._await_end()
        self.assertFalse(self.callers.connections)

    def test_requests_behind_unread_answers_are_not_passed_on(self):
        self.is_answering = False
        self._send("/a", "/b")
        self._await_arrived(2)
        response = Response(200, (), bytes(MAX_UNWRITTEN_BYTES + 1))
        self.callers.answer(AnswerCall(self.arrived[1].call_id, Verdict.RAN, "", response))
        self._send("/c")
        gevent.sleep(0.05)
        self.assertEqual(len(self.arrived), 2)
        self.is_answering = True
        self._answer(self.arrived[0])
        self.assertEqual([self._read()[2][:2] for _ in range(3)], [b"/a", b"\0\0", b"/c"])

    def test_requests_behind_unread_answers_with_long_heads_are_not_passed_on(self):
        """Only bodies counted, so that a caller could leave any number of long heads unread."""
        self.is_answering = False
        self._send("/a", "/b")
        self._await_arrived(2)
        fields = tuple((f"x-{number}", "v" * 4_000) for number in range(200))
        response = Response(200, fields, b"")
        self.callers.answer(AnswerCall(self.arrived[1].call_id, Verdict.RAN, "", response))
        self._send("/c")
        gevent.sleep(0.05)
        self.assertEqual(len(self.arrived), 2)

    def _connect(self):
        sock = gevent.socket.create_connection(self.sock.getpeername(), WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def test_pipelined_requests_of_all_callers_are_bounded_together(self):
        """Each caller alone was; 400 with 65 each took a daemon over its memory."""
        self.is_answering = False
        with mock.patch.object(caller_connection, "MAX_OPEN_REQUESTS", 3):
            self._send("/a", "/b", "/c", "/d")
            self._await_arrived(3)
            other = self._connect()
            other.sendall(request_bytes("GET", "/e", {"Host": "x"}) * 2)
            self._await_arrived(4)
            gevent.sleep(0.05)
            self.assertEqual(self.arrived[3].request.path, "/e")
            self.assertEqual(len(self.arrived), 4)
            self.is_answering = True
            for event in list(self.arrived):
                self._answer(event)
            self._await_arrived(6)

    def test_an_upload_with_progress_is_not_refused_for_a_short_silence(self):
        """It was, if no byte came in what happened to be left of a time limit."""
        self.callers.limits = CallerLimits(header_timeout_s=1.0)
        part, count = b"u" * 2_048, 4
        head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {count * len(part)}\r\n\r\n"
        self.sock.sendall(head.encode())
        for _ in range(count):
            gevent.sleep(0.55)
            self.sock.sendall(part)
        self.assertEqual(self._read()[0], 200)

    # Three callers that announced long bodies and sent a byte now and then held all space.
    def test_a_slow_upload_gives_way_to_others_that_wait_for_space(self):
        self.callers.limits = replace(self.callers.limits, max_body_bytes=9_000_000)
        self._send_slow_upload()
        space = self.callers.memory
        count = space.account.most_bytes(Purpose.ENTRY_REQUESTS) - 1_000_000
        with mock.patch.object(exchanges, "MIN_UPLOAD_S", 0.1):
            space.acquire(Purpose.ENTRY_REQUESTS, count, WAIT_S).release()
        self.assertEqual(self._read()[0], 503)

    # Each held the space of the longest small body: 128 of them used up the part for small ones.
    def test_chunked_requests_hold_what_they_need(self):
        self.is_answering = False
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        for length, count in ((100, 1), (70_000, 2)):
            self.callers.limits = replace(self.callers.limits, max_body_bytes=9_000_000)
            self.sock.sendall(head + b"%x\r\n%s\r\n" % (length, bytes(length)) * 2 + b"0\r\n\r\n")
            self._await_arrived(count)
            self.assertEqual(len(self.arrived[-1].request.body), 2 * length)
        self.assertEqual(self.callers.memory.account.held_bytes, 2 * 70_100)

    def _send_slow_upload(self):
        self.sock.sendall(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\nabc")
        with gevent.Timeout(WAIT_S):
            while not self.callers.memory.account.held_bytes:
                gevent.sleep(0.01)

    def _await_arrived(self, count: int):
        with gevent.Timeout(WAIT_S):
            while len(self.arrived) < count:
                gevent.sleep(0.01)

    # Such an octet ended the writing task: the connection got no answer any more, and no close.
    def test_octets_above_127_in_a_field_of_an_answer_go_on_unchanged(self):
        self.fields_by_path["/a"] = (("X-Note", NAME),)
        self._send("/a", "/b")
        status, headers, body = self._read()
        self.assertEqual((status, headers["x-note"], body), (200, NAME, b"/a"))
        self.assertEqual(self._read()[2], b"/b")

    def test_octets_above_127_in_a_field_of_a_request_are_decoded_one_by_one(self):
        self._send("/a", **{"X-Note": NAME})
        self._read()
        self.assertIn(("X-Note", NAME), self.arrived[0].request.headers)

    def test_an_answer_that_http_cannot_carry_is_a_failure_and_the_next_one_follows(self):
        self.fields_by_path = {"/a": (("X-Note", "a\r\nb"),), "/b": (("X-Note", "\u2603"),)}
        self._send("/a", "/b", "/c")
        answers = [self._read() for _ in range(3)]
        self.assertEqual([status for status, _, _ in answers], [502, 502, 200])
        self.assertEqual(answers[2][2], b"/c")

    def test_an_unexpected_error_of_the_writing_task_closes_the_connection(self):
        with mock.patch.object(caller_connection, "answer_bytes", side_effect=RuntimeError):
            self._send("/a")
            self._await_end()

    def test_it_does_so_while_reading_waits_for_answers(self):
        self.is_answering = False
        self._send(*("/a",) * MAX_PIPELINED)
        with gevent.Timeout(WAIT_S):
            while len(self.arrived) < MAX_PIPELINED:
                gevent.sleep(0.01)
        with mock.patch.object(caller_connection, "answer_bytes", side_effect=RuntimeError):
            self._answer(self.arrived[0])
            self._await_end()

    def test_it_does_so_while_a_malformed_request_waits_for_its_refusal(self):
        self.is_answering = False
        self._send("/a")
        self.sock.sendall(b"malformed\r\n\r\n")
        with gevent.Timeout(WAIT_S):
            while self.callers.open_requests < 2:
                gevent.sleep(0.01)
        with mock.patch.object(caller_connection, "answer_bytes", side_effect=RuntimeError):
            self._answer(self.arrived[0])
            self._await_end()


if __name__ == "__main__":
    unittest.main()
