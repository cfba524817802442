"""Tests of the callers' library, against entries that answer given bytes."""

import unittest

from gevent.server import StreamServer

from pollenroad import Client, Verdict

RAN = b"HTTP/1.1 200 OK\r\nPollenroad-Verdict: ran\r\nContent-Length: 2\r\n\r\nok"
LEAVING = (
    b"HTTP/1.1 503 Busy\r\nPollenroad-Verdict: not-run\r\nPollenroad-Reason: leaving\r\n"
    b"Content-Length: 0\r\n\r\n"
)
NO_VERDICT = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
MALFORMED = b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"
CUT_SHORT = b"HTTP/1.1 200 OK\r\nPollenroad-Verdict: ran\r\nContent-Length: 9\r\n\r\nok"


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.requests = []

    def entry(self, answer: bytes) -> str:
        """Start an entry that gives one answer a connection; return its address."""

        def serve(sock, _remote):
            self.requests.append(sock.recv(65536))
            sock.sendall(answer)
            sock.close()

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        return f"127.0.0.1:{server.server_port}"

    def unused(self) -> str:
        server = StreamServer(("127.0.0.1", 0), lambda *_: None)
        server.start()
        server.stop()
        return f"127.0.0.1:{server.server_port}"

    def verdicts(self, answers: list[bytes], **options) -> tuple[Verdict, int]:
        """Call once through entries with these answers; return the verdict and the tries."""
        self.requests.clear()
        reply = Client([self.entry(answer) for answer in answers]).post("w/s", "/x", **options)
        return reply.verdict, len(self.requests)

    def test_a_whole_answer_is_returned(self):
        self.assertEqual(self.verdicts([RAN]), (Verdict.RAN, 1))

    def test_an_entry_that_leaves_or_is_not_there_is_passed_over(self):
        reply = Client([self.entry(LEAVING), self.unused(), self.entry(RAN)]).post("w/s", "/x")
        self.assertEqual(reply.verdict, Verdict.RAN)

    def test_what_may_have_run_is_not_sent_again_unless_idempotent(self):
        for answer in (NO_VERDICT, CUT_SHORT):
            with self.subTest(answer=answer):
                self.assertEqual(self.verdicts([answer, answer]), (Verdict.UNKNOWN, 1))
        self.assertEqual(
            self.verdicts([CUT_SHORT, CUT_SHORT], idempotent=True), (Verdict.UNKNOWN, 2)
        )

    def test_a_malformed_request_did_not_run(self):
        self.assertEqual(self.verdicts([MALFORMED]), (Verdict.NOT_RUN, 1))

    def test_the_deadline_goes_with_the_call(self):
        self.verdicts([RAN], deadline_s=0.7)
        field = next(
            line
            for line in self.requests[0].split(b"\r\n")
            if line.startswith(b"Pollenroad-Deadline-Ms")
        )
        self.assertLessEqual(float(field.partition(b": ")[2]), 700)
