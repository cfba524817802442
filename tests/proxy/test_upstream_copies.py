"""Late second copies of answers on the kept connections of a guard to its server."""

import unittest

import gevent
from gevent.event import AsyncResult
from gevent.server import StreamServer

from pollenroad.boundary import ServerAnswered, ServerFailed, ServerShed
from pollenroad.messages import Request
from pollenroad.proxy.advertised import UNLIMITED
from pollenroad.proxy.boundary import ServerAdvertised, ServerSeen
from pollenroad.proxy.connection_pool import MAX_CARRIED_REQUESTS
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.upstream import Upstream
from tests.proxy.samples import attempt
from tests.users.raw_http import answer_bytes, read_message

DIALECT = Dialect()
TIMEOUT_S = 5.0


class CopyingServer:
    """A server that writes what `late_by_number` holds before its answer to that request.

    Attributes:
        refused: Numbers of the requests that are refused as not run; the others run.
        without_id: Numbers of the requests whose answer does not repeat their id.
        late_by_number: Function of the earlier answers that returns the bytes to write first.
    """

    def __init__(self, test: unittest.TestCase):
        self.refused: set[int] = set()
        self.without_id: set[int] = set()
        self.late_by_number = {}
        self.run_ids: list[str] = []
        self.connections = 0
        self._answers: list[bytes] = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        test.addCleanup(self._server.stop)
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock, _remote):
        self.connections += 1
        carried: list[bytes] = []
        with sock, sock.makefile("rb") as stream:
            while (message := read_message(stream)) is not None:
                number = len(self._answers) + 1
                late = self.late_by_number.get(number, lambda carried: b"")
                sock.sendall(late(carried))
                answer = self._answer(number, message[1][DIALECT.request_id.lower()])
                self._answers.append(answer)
                carried.append(answer)
                sock.sendall(answer)

    def _answer(self, number: int, request_id: str) -> bytes:
        fields = {} if number in self.without_id else {DIALECT.request_id: request_id}
        if number in self.refused:
            return answer_bytes(503, fields | {DIALECT.not_run: "1"}, b"")
        self.run_ids.append(request_id)
        return answer_bytes(200, fields | {DIALECT.signature: "s"}, request_id.encode())


def copy_of_last(carried: list[bytes]) -> bytes:
    return carried[-1] if carried else b""


class LateCopyTest(unittest.TestCase):
    def setUp(self):
        self.server = CopyingServer(self)
        self.result = AsyncResult()
        self.upstream = Upstream(self.server.address, DIALECT, self._post)
        self.addCleanup(lambda: self.upstream.set_server("127.0.0.1:1"))
        self.sent = 0

    def _post(self, event):
        if isinstance(event, ServerAnswered | ServerFailed | ServerShed):
            self.result.set(event)

    def run_attempt(self, request_id: str):
        self.sent += 1
        self.result = AsyncResult()
        fields = (("Host", "races.example"), (DIALECT.request_id, request_id))
        request = Request("POST", "/bind/17", fields, b"x")
        message = attempt(self.sent, request_id=request_id, request=request, idempotent=False)
        self.upstream.run(message, TIMEOUT_S)
        with gevent.Timeout(TIMEOUT_S):
            return self.result.get()

    # A late copy of a refusal has the id of its request, so that it passed as the answer to the
    # same request sent again: callers were told that a request that ran had not run.
    def test_a_late_copy_of_a_refusal_is_no_answer_to_the_same_request_sent_again(self):
        self.server.refused = {1}
        self.server.late_by_number = {2: copy_of_last}
        self.assertIsInstance(self.run_attempt("a"), ServerShed)
        self.assertIsInstance(self.run_attempt("a"), ServerAnswered)
        self.assertEqual(self.server.run_ids, ["a"])

    def test_nor_is_it_after_other_requests_on_the_same_connection(self):
        self.server.refused = {1}
        self.server.late_by_number = {3: lambda carried: carried[0] if carried else b""}
        self.assertIsInstance(self.run_attempt("a"), ServerShed)
        self.assertIsInstance(self.run_attempt("b"), ServerAnswered)
        self.assertIsInstance(self.run_attempt("a"), ServerAnswered)

    def test_a_copy_of_any_earlier_answer_is_skipped(self):
        self.server.refused = {1}
        for copied in range(3):
            number = self.sent + 4
            self.server.late_by_number[number] = lambda carried, i=copied: carried[i]
            for _ in range(4):
                event = self.run_attempt(f"r{self.sent}")
                if isinstance(event, ServerAnswered):
                    self.assertEqual(event.response.body, f"r{self.sent - 1}".encode())
        self.assertEqual(self.server.connections, 1)

    # A refusal without an id could not be told from its copy: no request follows it.
    def test_no_request_follows_an_answer_without_an_id(self):
        self.server.refused = self.server.without_id = {1}
        self.assertIsInstance(self.run_attempt("a"), ServerShed)
        self.server.late_by_number = {2: copy_of_last}
        self.assertIsInstance(self.run_attempt("b"), ServerAnswered)
        self.assertEqual(self.server.connections, 2)

    def test_a_connection_is_reused_for_other_requests_up_to_a_bound(self):
        for number in range(MAX_CARRIED_REQUESTS):
            self.run_attempt(f"r{number}")
        self.assertEqual(self.server.connections, 1)
        self.run_attempt("last")
        self.assertEqual(self.server.connections, 2)


RESTRICTIONS = {DIALECT.cold_ms: "900", DIALECT.limit: "5", DIALECT.leaving: "1"}


class HealthCopyTest(unittest.TestCase):
    def setUp(self):
        self.answers: list[bytes] = []
        self.connections = 0
        self.seen = AsyncResult()
        self.advertised: list[ServerAdvertised] = []
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        self.addCleanup(server.stop)
        self.upstream = Upstream(f"127.0.0.1:{server.server_port}", DIALECT, self._post)
        self.addCleanup(lambda: self.upstream.set_server("127.0.0.1:1"))

    def _serve(self, sock, _remote):
        self.connections += 1
        with sock, sock.makefile("rb") as stream:
            while read_message(stream) is not None:
                sock.sendall(self.answers.pop(0))

    def _post(self, event):
        match event:
            case ServerAdvertised():
                self.advertised.append(event)
            case ServerSeen():
                self.seen.set(event)

    def _check(self, *answers: dict[str, str]) -> ServerSeen:
        """Check the health, with these answers in the order in which the server writes them."""
        self.seen = AsyncResult()
        self.answers = [answer_bytes(200, fields, b"") for fields in answers]
        self.upstream.check("/healthz", TIMEOUT_S)
        with gevent.Timeout(TIMEOUT_S):
            return self.seen.get()

    # A late copy of a response from before ended the limit or the cold period of its server.
    def test_the_end_of_a_restriction_is_confirmed_on_a_new_connection(self):
        for name, value in RESTRICTIONS.items():
            with self.subTest(name=name):
                fields = {name: value}
                self._check({})
                self._check(fields)
                self.advertised.clear()
                self.connections = 0
                seen = self._check({}, fields)  # The first of these is the copy.
                self.assertEqual((seen.cold_s or 0) > 0, name == DIALECT.cold_ms)
                if name != DIALECT.cold_ms:
                    self.assertEqual(self.advertised[-1].limit == UNLIMITED, name != DIALECT.limit)
                    self.assertEqual(self.advertised[-1].is_leaving, name == DIALECT.leaving)
                self.assertEqual(self.connections, 1)
                self._check({}, {})
                self._check({})
                self.assertEqual(self.connections, 2)


if __name__ == "__main__":
    unittest.main()
