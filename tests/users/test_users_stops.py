"""Requests that callers send while a daemon stops."""

import signal
import threading
import unittest

from tests.users.fleet import UsersFleet, await_condition, configuration

READ, WRITE = "/alpha/read/", "/alpha/write/"
LATE_S = 3.1
"""Time after the SIGTERM from which nothing excuses a request that is cut off, in seconds."""


class LongGraceFleet(UsersFleet):
    def settings(self, host: str) -> dict:
        return super().settings(host) | {"grace": "8s"}


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        self.fleet = LongGraceFleet(3, subnet=69)
        self.addCleanup(self.fleet.close)
        self.fleet.store.put("op/config", configuration(2, timeout="6s"))
        self.fleet.start_all()
        self.status_by_id: dict[str, int] = {}

    def _set_service_s(self, service_s: float) -> None:
        for server in self.fleet.server_by_host.values():
            server.service_s = service_s

    def _runs(self, attempt: str) -> int:
        return sum(server.runs[attempt] for server in self.fleet.server_by_host.values())

    def _send(self, attempt: str, deadline_ms: int, path: str = READ) -> threading.Thread:
        method = "POST" if path == WRITE else "GET"

        def run() -> None:
            answer = self.fleet.request(
                self.fleet.hosts[0], path, attempt, method, deadline_ms=deadline_ms
            )
            self.status_by_id[attempt] = answer[0]

        thread = threading.Thread(target=run)
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def test_late_requests_are_refused_unless_they_can_end_before_the_daemon(self):
        """They were accepted until 0.45 of the grace, and cut off at 0.9 of it."""
        self._set_service_s(4.2)
        first = self._send("first", 8000)
        await_condition(lambda: self._runs("first"))
        self.fleet.signal(self.fleet.hosts[0], signal.SIGTERM)
        first.join(LATE_S)
        late = [self._send(f"late-{path}", 8000, path) for path in (READ, WRITE)]
        await_condition(lambda: len(self.status_by_id) == 2 or self._runs(f"late-{READ}"))
        self._set_service_s(0.1)
        self._send("short", 1500).join()
        for thread in (first, *late):
            thread.join()
        expected = {"first": 200, f"late-{READ}": 503, f"late-{WRITE}": 503, "short": 200}
        self.assertEqual(self.status_by_id, expected)
        self.assertEqual(self._runs(f"late-{READ}") + self._runs(f"late-{WRITE}"), 0)
        self.assertEqual(self.fleet.process_by_host[self.fleet.hosts[0]].wait(10), 0)


if __name__ == "__main__":
    unittest.main()
