"""Odd entries in the store, and signals during a start, on whole processes."""

import json
import re
import signal
import unittest
from pathlib import Path

from tests.users.fleet import UsersFleet, await_condition, configuration

READ = "/alpha/read/17"

ODD_ENTRIES = {
    "nested": b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "too-large": {"slots": 10**30, "service": "delta"},
    "port": {"addr": "127.0.103.99:70000"},
    "host": {"addr": "server.example:8147"},
    "cold": {"cold_left": "9" * 400 + "s"},
    "id \u00e9": {},
}


class EarlySignalTest(unittest.TestCase):
    # SIGHUP ended the process until its handler was set, 0.25 s after its start.
    def test_a_change_of_the_settings_during_a_start_is_applied(self):
        fleet = UsersFleet(1, 104)
        self.addCleanup(fleet.close)
        (host,) = fleet.hosts
        fleet.start(host)
        process = fleet.process_by_host[host]
        await_condition(lambda: self._handles_sigterm(process.pid))
        settings = json.loads(fleet.path(host, "json").read_text()) | {"log_level": "ERROR"}
        fleet.path(host, "json").write_text(json.dumps(settings))
        for _ in range(20):
            fleet.signal(host, signal.SIGHUP)
        await_condition(lambda: fleet.is_ready(host))
        self.assertIsNone(process.poll())
        await_condition(lambda: self._is_quiet(fleet, host))

    def _handles_sigterm(self, pid: int) -> bool:
        status = Path(f"/proc/{pid}/status").read_text()
        caught = int(re.search(r"SigCgt:\s*(\w+)", status)[1], 16)
        return bool(caught >> (signal.SIGTERM - 1) & 1)

    def _is_quiet(self, fleet: UsersFleet, host: str) -> bool:
        """Return whether a request leaves no line in the log, as its level asks."""
        log = fleet.log_by_host[host]
        before = log.stat().st_size
        fleet.request(host, READ, f"early-{before}")
        return log.stat().st_size == before


class OddEntryTest(unittest.TestCase):
    # A report of other operators: such entries ended daemons, or kept them from following changes.
    def test_odd_entries_of_another_writer_keep_no_daemon_from_following_the_store(self):
        fleet = UsersFleet(4, 103)  # Two of them are in one failure domain, where one watches.
        self.addCleanup(fleet.close)
        fleet.start_all()
        entry = {"service": "alpha", "addr": "127.0.103.99:8147", "zone": "a", "version": "v1",
                 "slots": 8, "state": "ready", "cold_left": "0ms", "seq": 1, "born": 1}  # fmt: skip
        for name, odd in ODD_ENTRIES.items():
            value = odd if isinstance(odd, bytes) else entry | odd
            fleet.store.put(f"servers/{name}", value)
        config = configuration(9)
        config["routes"]["rows"].append(["new", "shop.example", "/alpha/new/", "safe", "1500ms",
                                         "600ms", 1, "alpha", 2, None])  # fmt: skip
        fleet.store.put("op/config", config)
        for number, host in enumerate(fleet.hosts):
            await_condition(
                lambda n=number, h=host: fleet.request(h, "/alpha/new/", f"o{n}")[0] == 200
            )
            self.assertIsNone(fleet.process_by_host[host].poll())
            self.assertFalse('"internal_error"' in fleet.log_by_host[host].read_text())


if __name__ == "__main__":
    unittest.main()
