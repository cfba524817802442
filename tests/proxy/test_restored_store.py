"""A store that came back from a copy: its revisions are given out again."""

import unittest
from dataclasses import replace

from pollenroad.proxy.boundary import DirectoryChanged
from tests.proxy.samples import configuration, endpoint, read
from tests.proxy.test_proxy_relay import Fleet

OLD, NEW = 1, 2
"""Epochs before and after the return from a copy."""


def read_in(epoch: int, revision: int, *endpoints, **changes):
    return replace(read(*endpoints, revision=revision, **changes), epoch=epoch)


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(12)
        for peer in self.fleet.cores_by_peer:
            self.fleet.post(peer, read_in(OLD, 10, *self.fleet.endpoints, config=configuration(5)))
        self.fleet.run(5.0)

    def _post_to_watchers(self, event) -> None:
        for peer in self.fleet.watchers():
            self.fleet.post(peer, event)

    @unittest.expectedFailure  # KNOWN-RED.txt 15
    def test_a_change_whose_revision_was_given_out_before_reaches_every_daemon(self):
        copy = read_in(NEW, 9, *self.fleet.endpoints, config=configuration(3))
        self._post_to_watchers(copy)
        self._post_to_watchers(DirectoryChanged(10, (configuration(7),), 9, epoch=NEW))
        self.fleet.run(2.0)
        self.assertEqual(self.fleet.versions(), {7})

    @unittest.expectedFailure  # KNOWN-RED.txt 15
    def test_a_server_that_leaves_at_a_lower_revision_gets_no_work_anywhere(self):
        copy = read_in(NEW, 5, *self.fleet.endpoints)
        self._post_to_watchers(copy)
        leaving = endpoint(12, "a", is_leaving=True, revision=6)
        self._post_to_watchers(DirectoryChanged(6, (leaving,), 5, epoch=NEW))
        self.fleet.run(2.0)
        for cores in self.fleet.cores_by_peer.values():
            names = {e.incarnation for e in cores.directory.endpoints("registry")}
            self.assertNotIn("i-12", names)


if __name__ == "__main__":
    unittest.main()
