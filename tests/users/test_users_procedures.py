"""Tests of the procedures in docs/OPERATIONS.md that lead from a request's id to its cause."""

import signal
import threading
import unittest

from pollenroad.operators.causes import describe_cause, find_lines
from tests.users.fleet import UsersFleet, await_condition

READ, WRITE = "/alpha/read/17", "/alpha/write/17"


class ProcedureTest(unittest.TestCase):
    def setUp(self):
        self.fleet = UsersFleet(2, 103)
        self.addCleanup(self.fleet.close)
        self.fleet.start_all()

    def _set_fault(self, fault: str) -> None:
        for server in self.fleet.server_by_host.values():
            server.fault = fault

    def _lines(self, attempt: str):
        texts = [t for p in self.fleet.log_by_host.values() for t in p.read_text().splitlines()]
        return find_lines(attempt, texts)

    def _cause(self, attempt: str, last: str = "call_failed") -> str:
        await_condition(lambda: any(line.event == last for line in self._lines(attempt)))
        return describe_cause(self._lines(attempt))

    def test_a_server_that_closes_without_an_answer(self):
        self._set_fault("reset")
        self.assertEqual(
            self.fleet.request(self.fleet.hosts[0], WRITE, "lost-1", "POST", b"x")[0], 502
        )
        cause = self._cause("lost-1")
        self.assertIn("Verdict unknown: the exchange with the server failed", cause)
        self.assertIn("closed without an answer", cause)
        self.assertIn("handed over by vm-", cause)

    def test_a_request_without_an_available_endpoint(self):
        for server in self.fleet.server_by_host.values():
            server.register("draining")
        await_condition(lambda: self._refused("leaving-1") == 503)
        cause = self._cause("leaving-1")
        self.assertIn("Verdict not-run: no endpoint took it in time", cause)

    def _refused(self, attempt: str) -> int:
        return self.fleet.request(self.fleet.hosts[0], READ, attempt)[0]

    def test_an_attempt_at_a_daemon_that_was_killed(self):
        self._set_fault("silent")
        entry, other = self.fleet.hosts
        self.fleet.server_by_host[entry].register("draining")
        await_condition(lambda: any('"state":"leaving"' in t for t in self._texts(entry)))
        statuses = []
        call = threading.Thread(
            target=lambda: statuses.append(
                self.fleet.request(entry, WRITE, "killed-1", "POST", b"x")[0]
            )
        )
        call.start()
        await_condition(
            lambda: any(line.event == "attempt_started" for line in self._lines("killed-1"))
        )
        self.fleet.signal(other, signal.SIGKILL)
        call.join()
        self.assertEqual(statuses, [502])
        self.assertIn("the link to the guard broke", self._cause("killed-1"))

    def _texts(self, host: str) -> list[str]:
        return self.fleet.log_by_host[host].read_text().splitlines()


class CauseTest(unittest.TestCase):
    def test_a_served_request(self):
        text = 'x {"time": "1", "vm": "v", "event": "call_answered", "request_id": "q", ' \
            '"verdict": "ran", "reason": "", "endpoint": "i-1", "ms": 5}'  # fmt: skip
        self.assertEqual(describe_cause(find_lines("q", [text])), "It was served by i-1 in 5 ms.")

    def test_truncated_and_foreign_lines_are_ignored(self):
        self.assertEqual(find_lines("q", ['{"event": "call_ans', "plain text"]), [])

    def test_a_request_without_a_final_event(self):
        self.assertIn("no end", describe_cause([]))
