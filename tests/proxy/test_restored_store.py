"""A store that came back from a copy: its revisions are given out again."""

import unittest
from dataclasses import replace

from pollenroad.boundary import PeerReceived
from pollenroad.proxy.boundary import DirectoryChanged, DirectoryLost, EndpointRemoved, Position
from pollenroad.proxy.directory import make_directory
from pollenroad.proxy.registrations import LEASE_S, RENEWAL_GRACE_S
from pollenroad.published import DomainOut
from pollenroad.relay_messages import Bulletin, DirectoryNews
from tests.proxy.samples import SERVICE, configuration, endpoint, events_of, read
from tests.proxy.test_proxy_relay import Fleet

OLD, NEW = 1, 2
"""Epochs before and after the return from a copy."""


def read_in(epoch: int, revision: int, *endpoints, **changes):
    written = [replace(e, epoch=epoch, revision=min(revision, e.revision)) for e in endpoints]
    return replace(read(*written, revision=revision, **changes), epoch=epoch)


def names(directory) -> set[str]:
    return {e.incarnation for e in directory.endpoints(SERVICE)}


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(12)
        for peer in self.fleet.cores_by_peer:
            self.fleet.post(peer, read_in(OLD, 10, *self.fleet.endpoints, config=configuration(5)))
        self.fleet.run(5.0)

    def _post_to_watchers(self, event) -> None:
        for peer in self.fleet.watchers():
            self.fleet.post(peer, event)

    def test_a_change_whose_revision_was_given_out_before_reaches_every_daemon(self):
        copy = read_in(NEW, 9, *self.fleet.endpoints, config=configuration(3))
        self._post_to_watchers(copy)
        self._post_to_watchers(DirectoryChanged(10, (configuration(7),), 9, epoch=NEW))
        self.fleet.run(2.0)
        self.assertEqual(self.fleet.versions(), {7})

    def test_a_server_that_leaves_at_a_lower_revision_gets_no_work_anywhere(self):
        copy = read_in(NEW, 5, *self.fleet.endpoints)
        self._post_to_watchers(copy)
        leaving = endpoint(12, "a", is_leaving=True, revision=6, epoch=NEW)
        self._post_to_watchers(DirectoryChanged(6, (leaving,), 5, epoch=NEW))
        self.fleet.run(2.0)
        for cores in self.fleet.cores_by_peer.values():
            self.assertNotIn("i-12", names(cores.directory))

    def test_a_daemon_that_starts_on_the_copy_gets_the_configuration_that_others_have_kept(self):
        copy = read_in(NEW, 9, *self.fleet.endpoints, config=configuration(3))
        self._post_to_watchers(copy)
        restarted = self.fleet.endpoints[0]
        self.fleet.cores_by_peer[restarted.guard] = self.fleet._cores(restarted)
        self.fleet.post(restarted.guard, copy)
        self.fleet.run(2.0)
        self.assertEqual(self.fleet.versions(), {5})

    def test_what_daemons_of_the_old_epoch_send_late_changes_nothing(self):
        self._post_to_watchers(read_in(NEW, 9, *self.fleet.endpoints, config=configuration(3)))
        peer, cores = next(iter(self.fleet.cores_by_peer.items()))
        update = DirectoryNews(after=0, revision=40, is_whole=True, epoch=OLD)
        self.fleet.post(peer, PeerReceived("x", update))
        self.fleet.post(peer, PeerReceived("x", Bulletin(40, True, OLD)))
        self.fleet.run(1.0)
        self.assertEqual(cores.directory.position, Position(NEW, 9))
        self.assertEqual(len(names(cores.directory)), 12)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = make_directory()
        self.directory.handle(read_in(OLD, 10, *(endpoint(n) for n in (1, 2, 3))), 0.0)

    def _change(self, revision: int, *items, epoch: int = OLD, now: float = 5.0) -> None:
        self.directory.handle(DirectoryChanged(revision, items, epoch=epoch), now)

    def _restore(self, *numbers: int, now: float = 10.0, **changes) -> None:
        copy = read_in(NEW, 4, *(endpoint(n) for n in numbers), **changes)
        self.directory.handle(copy, now)

    def test_an_ended_registration_in_the_copy_is_used_once_it_outlives_its_lease(self):
        self._change(11, EndpointRemoved("i-1"))
        self._restore(1, 2, 3)
        self.assertEqual(names(self.directory), {"i-2", "i-3"})
        self.directory.expire(10.0 + LEASE_S)
        self.assertEqual(names(self.directory), {"i-1", "i-2", "i-3"})

    def test_an_ended_registration_in_the_copy_is_used_once_its_server_writes_again(self):
        self._change(11, EndpointRemoved("i-1"))
        self._restore(1, 2, 3)
        self._change(5, endpoint(1, revision=5, epoch=NEW), epoch=NEW, now=10.5)
        self.assertEqual(names(self.directory), {"i-1", "i-2", "i-3"})

    def test_a_server_that_left_is_not_used_because_of_the_copy(self):
        self._change(11, endpoint(1, is_leaving=True, revision=11, epoch=OLD))
        self._change(12, endpoint(2, is_leaving=True, revision=12, epoch=OLD))
        self._change(13, EndpointRemoved("i-2"))
        self._restore(1, 2, 3)
        self.directory.expire(10.0 + LEASE_S)
        self.assertEqual(names(self.directory), {"i-3"})

    def test_a_registration_that_the_copy_lacks_is_kept_until_it_is_written_again(self):
        self._restore(1, 2)
        self.assertEqual(names(self.directory), {"i-1", "i-2", "i-3"})
        self.directory.expire(10.0 + RENEWAL_GRACE_S)
        self.assertEqual(names(self.directory), {"i-1", "i-2"})

    def test_a_domain_out_of_service_that_the_copy_lacks_stays_out_for_a_while(self):
        self._change(11, DomainOut("a", True))
        self._restore(1, 2, 3)
        self.assertEqual(self.directory.out_domains, {"a"})
        self.assertEqual(self.directory.stated_out_domains, frozenset())
        self.directory.expire(10.0 + RENEWAL_GRACE_S)
        self.assertEqual(self.directory.out_domains, frozenset())

    def test_the_waits_count_from_when_a_peer_found_out(self):
        self._change(11, DomainOut("a", True))
        self._change(12, EndpointRemoved("i-1"))
        copy = read_in(NEW, 4, *(endpoint(n) for n in (1, 2, 3)))
        self.directory.handle(replace(copy, peer="x", lost_ago_s=5.0), 10.0)
        self.assertEqual(self.directory.out_domains, frozenset())
        self.directory.expire(5.0 + LEASE_S)
        self.assertEqual(names(self.directory), {"i-1", "i-2", "i-3"})

    def test_a_second_return_from_a_copy_starts_the_waits_anew(self):
        self._change(11, DomainOut("a", True))
        self._change(12, EndpointRemoved("i-1"))
        self._restore(1, 2, 3)
        again = read_in(NEW + 1, 3, *(endpoint(n) for n in (1, 2, 3)))
        self.directory.handle(again, 11.0)
        self.directory.expire(10.0 + RENEWAL_GRACE_S)
        self.assertEqual(self.directory.out_domains, {"a"})
        self.directory.expire(10.0 + LEASE_S)
        self.assertEqual(names(self.directory), {"i-2", "i-3"})

    def test_an_older_answer_of_the_same_epoch_only_shows_that_the_platform_answers(self):
        self._change(20, EndpointRemoved("i-1"))
        self.directory.handle(DirectoryLost("no answer"), 6.0)
        late = read_in(OLD, 15, *(endpoint(n) for n in (1, 2, 3)))
        self.assertIn("directory_regained", events_of(self.directory.handle(late, 6.5)))
        self._change(18, endpoint(1, epoch=OLD), now=6.6)
        self.assertEqual(names(self.directory), {"i-2", "i-3"})


if __name__ == "__main__":
    unittest.main()
