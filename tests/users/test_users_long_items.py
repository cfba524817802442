"""Items of the users' store that are too long, or not readable, cost the others nothing."""

import json
import os
import sys
import unittest
from unittest import mock

import gevent
from gevent.server import StreamServer

from pollenroad.exceptions import UnreadableAnswer
from tests.users.fleet import ROOT, UsersFleet, await_condition, configuration
from tests.users.store import StandInStore

sys.path.insert(0, str(ROOT / "platform"))

import store  # noqa: E402

VALUE_BYTES = 1_048_576
LONG_ITEMS = 7
"""Items of that length that exceed the longest answer together."""
BRIEF_S = 0.2


def registration(host: str) -> dict:
    return {"service": "alpha", "addr": f"{host}:8000", "zone": "a", "version": "v1", "slots": 4,
            "state": "ready", "cold_left": "0ms", "seq": 1, "born": 1}  # fmt: skip


class LongItemsTest(unittest.TestCase):
    def setUp(self):
        self.stand_in = StandInStore("127.0.70.1")
        self.addCleanup(self.stand_in.close)
        self.store = store.Store(self.stand_in.address, 7000)
        self.addCleanup(self.store.close)
        self.stand_in.put("servers/i-1", registration("127.0.70.2"))
        for number in range(LONG_ITEMS):
            self.stand_in.put(f"servers/foreign-{number}", os.urandom(VALUE_BYTES))
        self.stand_in.put("servers/i-2", registration("127.0.70.3"))

    def test_changes_that_are_too_long_are_told_from_a_platform_that_is_away(self):
        with self.assertRaises(UnreadableAnswer):
            self.store.changes(0, 0.0)

    def test_the_contents_are_read_in_pages_however_long_they_are(self):
        contents = self.store.read()
        self.assertEqual(set(contents.endpoint_by_incarnation), {"i-1", "i-2"})


class RawStoreTest(unittest.TestCase):
    """Answers that the stand-in of the store does not give."""

    def _store(self, parts: tuple[bytes, ...], pause_s: float = 0.0) -> store.Store:
        def serve(sock, _remote):
            sock.recv(65_536)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {sum(map(len, parts))}\r\n\r\n"
            for part in (head.encode(), *parts):
                sock.sendall(part)
                gevent.sleep(pause_s)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        client = store.Store(f"127.0.0.1:{server.server_port}", 7000)
        self.addCleanup(client.close)
        return client

    def test_an_item_that_is_not_readable_does_not_keep_back_the_others(self):
        valid = json.dumps({"key": "op/evacuate/a", "revision": 2}).encode()
        for odd in (
            b'{"key": "\xff\xfe"}',
            b'{"key": 1}',
            b'{"key": "x", "revision": 1e400}',
            b"7",
        ):
            with self.subTest(odd=odd):
                answer = b'{"events": [' + odd + b", " + valid + b'], "current_rev": 2}'
                changes = self._store((answer,)).changes(1, 0.0)
                self.assertEqual([item.failure_domain for item in changes.items], ["a"])

    def test_an_answer_that_takes_long_is_read_as_long_as_it_goes_on(self):
        """A timeout for the whole answer ended it each time, and it was asked for again."""
        answer = b'{"events": [], "current_rev": 2}'
        parts = tuple(answer[at : at + 4] for at in range(0, len(answer), 4))
        with mock.patch.object(store, "READ_TIMEOUT_S", BRIEF_S):
            client = self._store(parts, pause_s=BRIEF_S / 2)
            self.assertEqual(client.changes(1, 0.0).revision, 2)


class FleetTest(unittest.TestCase):
    def test_a_configuration_is_in_force_after_changes_that_are_too_long(self):
        """All daemons kept the old one for as long as the store kept its history."""
        fleet = UsersFleet(2, subnet=71)
        self.addCleanup(fleet.close)
        fleet.start_all()
        for number in range(2 * LONG_ITEMS):
            fleet.store.put(f"servers/foreign-{number}", os.urandom(VALUE_BYTES))
        fleet.store.put("op/config", configuration(2))
        for host in fleet.hosts:
            await_condition(lambda h=host: b'"version":2' in fleet.log_by_host[h].read_bytes())


if __name__ == "__main__":
    unittest.main()
