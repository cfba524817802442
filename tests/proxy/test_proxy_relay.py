"""Election of the daemons that watch the platform, and distribution of changes to the others."""

import random
import unittest

from pollenroad.boundary import PeerReceived, SendPeer, Tick
from pollenroad.proxy.boundary import (
    DirectoryChanged,
    DirectoryLost,
    EndpointRemoved,
    WatchDirectory,
)
from pollenroad.proxy.cores import DaemonLocation, ProxyCores
from pollenroad.proxy.registrations import RENEWAL_GRACE_S
from pollenroad.proxy.relay import ANNOUNCEMENT_TTL_S, MAX_SEARCHERS, WATCHERS
from pollenroad.relay_messages import AskDirectory, Bulletin, DirectoryNews
from tests.proxy.samples import RETRIES, SERVICE, configuration, endpoint, of_kind, read

COUNT = 6


class Fleet:
    """Proxies of two failure domains that exchange messages in one process."""

    def __init__(self, count: int = COUNT):
        self.endpoints = [endpoint(n, "ab"[n % 2]) for n in range(1, count + 1)]
        self.cores_by_peer = {e.guard: self._cores(e) for e in self.endpoints}
        self.cut: set[str] = set()
        self.now = 0.0

    def _cores(self, own) -> ProxyCores:
        location = DaemonLocation(own.guard, own.failure_domain, SERVICE, own.server)
        return ProxyCores(own.incarnation, location, RETRIES, random.Random(1), 0.0)

    def post(self, peer: str, event) -> list:
        actions = self.cores_by_peer[peer].handle(event, self.now)
        for action in of_kind(actions, SendPeer):
            if not {peer, action.peer} & self.cut:
                self.post(action.peer, PeerReceived(peer, action.message))
        return actions

    def start(self) -> None:
        for peer in self.cores_by_peer:
            self.post(peer, read(*self.endpoints))
        self.run(5.0)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for peer in self.cores_by_peer:
                self.post(peer, Tick())

    def watchers(self) -> list[str]:
        return sorted(p for p, cores in self.cores_by_peer.items() if cores.relay.is_watching)

    def versions(self) -> set[int]:
        return {c.directory.configuration.version for c in self.cores_by_peer.values()}


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(12)
        self.fleet.start()

    def _change(self, revision: int, *items, after: int = 10) -> None:
        for peer in self.fleet.watchers():
            if peer not in self.fleet.cut:
                self.fleet.post(peer, DirectoryChanged(revision, items, after))

    def test_a_few_daemons_of_each_domain_watch(self):
        domain_by_peer = {e.guard: e.failure_domain for e in self.fleet.endpoints}
        domains = [domain_by_peer[peer] for peer in self.fleet.watchers()]
        self.assertEqual((domains.count("a"), domains.count("b")), (WATCHERS, WATCHERS))

    def test_a_change_reaches_every_daemon(self):
        self._change(11, configuration(7))
        self.assertEqual(self.fleet.versions(), {7})

    def test_a_removed_and_a_leaving_endpoint_are_announced(self):
        self._change(11, EndpointRemoved("i-3"), endpoint(4, "a", is_leaving=True, revision=11))
        for cores in self.fleet.cores_by_peer.values():
            names = {e.incarnation for e in cores.directory.endpoints(SERVICE)}
            self.assertFalse(names & {"i-3", "i-4"}, cores.relay._address)

    def test_another_daemon_replaces_an_isolated_watcher(self):
        lost = self.fleet.watchers()[0]
        self.fleet.cut = {lost}
        self.fleet.run(3.0)
        self.assertEqual(len(set(self.fleet.watchers()) - {lost}), 2 * WATCHERS)
        self._change(11, configuration(7))
        rest = {p: c for p, c in self.fleet.cores_by_peer.items() if p != lost}
        self.assertEqual({c.directory.configuration.version for c in rest.values()}, {7})

    def test_a_daemon_that_need_not_watch_acts_only_when_its_watcher_is_missed(self):
        peer = next(p for p in self.fleet.cores_by_peer if p not in self.fleet.watchers())
        relay = self.fleet.cores_by_peer[peer].relay
        acted = set()
        for _ in range(100):
            self.fleet.run(0.05)
            acted.add(relay.next_due())
        self.assertLess(len(acted), 5 * 2.0)
        self.assertLessEqual(relay.next_due(), self.fleet.now + ANNOUNCEMENT_TTL_S)

    def test_a_watcher_that_the_platform_refuses_is_replaced(self):
        lost = self.fleet.watchers()[0]
        self.fleet.post(lost, DirectoryLost("access refused"))
        self.fleet.run(3.0)
        self.assertGreater(len(self.fleet.watchers()), 2 * WATCHERS)

    def test_an_outage_of_the_platform_does_not_make_every_daemon_try_to_read_it(self):
        fleet = Fleet(60)
        fleet.start()
        for _ in range(20):
            for peer in fleet.watchers():
                fleet.post(peer, DirectoryLost("no answer in time"))
            fleet.run(0.5)
        self.assertLessEqual(len(fleet.watchers()), 2 * (MAX_SEARCHERS + 1))
        fleet.cut = set(fleet.watchers())
        fleet.run(3.0)
        self.assertGreaterEqual(len(set(fleet.watchers()) - fleet.cut), 2 * WATCHERS)

    def test_a_domain_whose_watchers_get_no_answer_is_updated_by_another_domain(self):
        domain_by_peer = {e.guard: e.failure_domain for e in self.fleet.endpoints}
        for peer in self.fleet.watchers():
            if domain_by_peer[peer] == "b":
                self.fleet.post(peer, DirectoryChanged(11, (configuration(7),), 10))
        self.fleet.run(0.7)
        self.assertEqual(self.fleet.versions(), {7})

    def test_a_daemon_that_missed_a_change_requests_everything(self):
        behind = next(p for p in self.fleet.cores_by_peer if p not in self.fleet.watchers())
        self.fleet.cut = {behind}
        self._change(11, configuration(7))
        self.fleet.cut = set()
        self.fleet.run(1.5)
        self.assertEqual(self.fleet.versions(), {7})

    def test_an_update_with_a_gap_is_ignored(self):
        peer, cores = next(iter(self.fleet.cores_by_peer.items()))
        update = DirectoryNews(after=15, revision=16, configuration=configuration(9))
        cores.handle(PeerReceived("x", update), self.fleet.now)
        self.assertEqual((cores.directory.revision, self.fleet.versions()), (10, {1}))

    def test_an_older_update_changes_nothing(self):
        self._change(11, configuration(7))
        cores = next(iter(self.fleet.cores_by_peer.values()))
        update = DirectoryNews(after=0, revision=5, is_whole=True, configuration=configuration(2))
        cores.handle(PeerReceived("x", update), self.fleet.now)
        self.assertEqual(cores.directory.configuration.version, 7)

    def test_a_restarted_daemon_takes_nothing_old_from_peers_that_are_behind(self):
        peer, behind = list(self.fleet.cores_by_peer)[:2]
        gone, *rest = self.fleet.endpoints
        old = self.fleet.cores_by_peer[behind]
        restarted = Fleet(12).cores_by_peer[peer]
        restarted.handle(read(*rest, revision=20, config=configuration(9)), 0.0)
        (reply,) = of_kind(old.handle(PeerReceived(peer, AskDirectory()), 0.1), SendPeer)
        restarted.handle(PeerReceived(behind, reply.message), 0.1)
        restarted.handle(PeerReceived(behind, Bulletin(10, True)), 0.2)
        known = {e.incarnation for e in restarted.directory.endpoints(SERVICE)}
        self.assertNotIn(gone.incarnation, known)
        self.assertEqual(restarted.directory.configuration.version, 9)

    def test_an_endpoint_that_may_have_lapsed_is_not_passed_on_as_registered(self):
        sender, receiver = list(self.fleet.cores_by_peer)[:2]
        cores = self.fleet.cores_by_peer[sender]
        cores.handle(DirectoryLost("no answer"), self.fleet.now)
        cores.handle(DirectoryChanged(11, (EndpointRemoved("i-3"),), 10), self.fleet.now)
        self.assertTrue(cores.directory.is_lapsed("i-3"))
        self.fleet.post(sender, PeerReceived(receiver, AskDirectory()))
        self.fleet.run(RENEWAL_GRACE_S + 0.2)
        for peer in (sender, receiver):
            known = self.fleet.cores_by_peer[peer].directory.endpoints(SERVICE)
            self.assertNotIn("i-3", {e.incarnation for e in known})

    def test_an_isolated_daemon_watches_by_itself(self):
        cores = Fleet(12).cores_by_peer["127.0.0.1:7000"]
        cores.handle(read(*self.fleet.endpoints), 0.0)
        actions = [a for step in range(60) for a in cores.handle(Tick(), step / 20)]
        self.assertIn(WatchDirectory(True), actions)

    def test_announcements_of_other_domains_do_not_count(self):
        cores = Fleet(12).cores_by_peer["127.0.0.1:7000"]
        cores.handle(read(*self.fleet.endpoints), 0.0)
        for step in range(80):
            for number in (2, 4, 6, 8):
                announcement = PeerReceived(f"127.0.0.{number}:7000", Bulletin(10, True))
                cores.handle(announcement, step / 20)
            cores.handle(Tick(), step / 20)
        self.assertTrue(cores.relay.is_watching)

    def test_a_request_for_the_directory_gets_everything(self):
        cores = next(iter(self.fleet.cores_by_peer.values()))
        actions = cores.handle(PeerReceived("x", AskDirectory()), self.fleet.now)
        (reply,) = (a for a in of_kind(actions, SendPeer) if a.peer == "x")
        self.assertTrue(reply.message.is_whole)
        self.assertEqual(len(reply.message.endpoints), 12)
