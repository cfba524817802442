"""Routes, and which updates of the platform a directory applies."""

import unittest
from collections import Counter
from dataclasses import replace

from pollenroad.proxy.boundary import DirectoryChanged, DirectoryLost, EndpointRemoved
from pollenroad.proxy.registrations import MASS_LAPSE_GRACE_S, RENEWAL_GRACE_S
from pollenroad.proxy.routes import RouteTable, Splitter
from pollenroad.published import Configuration, DomainOut, Share
from tests.proxy.samples import (
    SERVICE,
    configuration,
    directory_with,
    endpoint,
    events_of,
    read,
    route,
    rules,
)


def declaring(*services: str) -> Configuration:
    """Return a configuration that declares these services."""
    return Configuration(1, (route(),), {name: rules(name=name) for name in services})


def names(directory) -> list[str]:
    return sorted(e.incarnation for e in directory.endpoints(SERVICE))


class RoutesTest(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        table = RouteTable((route("a", prefix="/x/"), route("b", prefix="/x/y/")))
        self.assertEqual(table.match("races.example:80", "/x/y/z?q=1").name, "b")
        self.assertEqual(table.match("RACES.example", "/x/yz").name, "a")
        self.assertIsNone(table.match("other.example", "/x/y/z"))
        self.assertIsNone(table.match("races.example", "/x"))

    def test_a_split_follows_the_weights_within_20_requests(self):
        split = route(shares=(Share("old", 90), Share("new", 10)))
        splitter = Splitter()
        counts = Counter(splitter.service_of(split) for _ in range(20))
        self.assertEqual(counts, {"old": 18, "new": 2})

    def test_a_changed_split_applies_immediately(self):
        splitter = Splitter()
        for _ in range(7):
            splitter.service_of(route(shares=(Share("old", 90), Share("new", 10))))
        moved = route(shares=(Share("new", 1), Share("other", 1)))
        counts = Counter(splitter.service_of(moved) for _ in range(10))
        self.assertEqual(counts, {"new": 5, "other": 5})


class DirectoryTest(unittest.TestCase):
    def test_an_older_configuration_is_refused(self):
        directory = directory_with(endpoint(1), config=configuration(5))
        records = directory.handle(DirectoryChanged(11, (configuration(4),)), 1.0)
        self.assertEqual(directory.configuration.version, 5)
        self.assertIn("configuration_refused", events_of(records))
        directory.handle(read(endpoint(1), config=configuration(3)), 2.0)
        self.assertEqual(directory.configuration.version, 5)

    def test_leaving_and_removed_endpoints_get_no_new_work(self):
        directory = directory_with(endpoint(1), endpoint(2), endpoint(3))
        changes = (endpoint(1, is_leaving=True, revision=20), EndpointRemoved("i-2"))
        directory.handle(DirectoryChanged(20, changes), 10.0)
        self.assertEqual(names(directory), ["i-3"])

    def test_an_older_registration_does_not_undo_a_newer_one(self):
        directory = directory_with(endpoint(1, is_leaving=True, revision=20))
        directory.handle(DirectoryChanged(21, (endpoint(1, revision=5),)), 1.0)
        self.assertEqual(names(directory), [])

    def test_a_domain_goes_out_of_service_and_returns(self):
        directory = directory_with(endpoint(1, "a"), endpoint(2, "b"))
        directory.handle(DirectoryChanged(11, (DomainOut("a", True),)), 1.0)
        self.assertEqual(names(directory), ["i-2"])
        directory.handle(DirectoryChanged(12, (DomainOut("a", False),)), 2.0)
        self.assertEqual(names(directory), ["i-1", "i-2"])

    def test_a_lapsed_endpoint_is_kept_until_it_registers_again(self):
        directory = directory_with(endpoint(1), endpoint(2))
        directory.handle(DirectoryLost("no answer"), 10.0)
        directory.handle(DirectoryChanged(11, (EndpointRemoved("i-1"),)), 12.0)
        self.assertEqual(names(directory), ["i-1", "i-2"])
        self.assertTrue(directory.is_lapsed("i-1"))
        directory.handle(DirectoryChanged(12, (endpoint(1, revision=30),)), 13.0)
        self.assertFalse(directory.is_lapsed("i-1"))
        directory.expire(12.0 + RENEWAL_GRACE_S)
        self.assertEqual(names(directory), ["i-1", "i-2"])

    def test_a_lapsed_endpoint_that_does_not_register_again_is_dropped(self):
        directory = directory_with(endpoint(1), endpoint(2))
        directory.handle(DirectoryLost("no answer"), 10.0)
        directory.handle(DirectoryChanged(11, (EndpointRemoved("i-1"),)), 12.0)
        directory.expire(12.0 + RENEWAL_GRACE_S)
        self.assertEqual(names(directory), ["i-2"])

    def test_the_grace_time_counts_from_when_the_platform_is_reachable_again(self):
        directory = directory_with(endpoint(1), endpoint(2))
        directory.handle(DirectoryLost("no answer"), 10.0)
        directory.handle(DirectoryChanged(11, ()), 12.0)
        directory.handle(DirectoryChanged(12, (EndpointRemoved("i-1"),)), 13.8)
        self.assertTrue(directory.is_lapsed("i-1"))
        directory.expire(12.0 + RENEWAL_GRACE_S)
        self.assertEqual(names(directory), ["i-2"])
        directory.handle(DirectoryChanged(13, (EndpointRemoved("i-2"),)), 12.1 + RENEWAL_GRACE_S)
        self.assertEqual(names(directory), [])

    def test_nothing_is_dropped_while_the_platform_is_unreachable(self):
        directory = directory_with(endpoint(1), endpoint(2))
        directory.handle(DirectoryLost("no answer"), 10.0)
        directory.handle(DirectoryChanged(11, (EndpointRemoved("i-1"),)), 11.0)
        directory.handle(DirectoryLost("no answer"), 11.5)
        directory.expire(60.0)
        self.assertEqual(names(directory), ["i-1", "i-2"])
        self.assertIsNone(directory.next_due(), "a timer without effect would fire forever")

    def test_many_registrations_that_end_together_count_as_lapsed(self):
        directory = directory_with(*(endpoint(n) for n in range(1, 7)))
        removed = tuple(EndpointRemoved(f"i-{n}") for n in (1, 2, 3))
        directory.handle(DirectoryChanged(11, removed), 100.0)
        self.assertEqual(len(names(directory)), 6)
        directory.expire(100.0 + MASS_LAPSE_GRACE_S)
        self.assertEqual(names(directory), ["i-4", "i-5", "i-6"])

    def test_the_newest_incarnation_at_an_address_counts(self):
        old, new = endpoint(1), endpoint(2, server=endpoint(1).server, service="other")
        directory = directory_with(old, new, config=declaring(SERVICE, "other"))
        self.assertEqual(directory.endpoint_at(old.server).incarnation, "i-2")

    def test_an_endpoint_whose_clock_jumped_back_before_its_start_can_leave(self):
        """Its `draining` was taken for one of an earlier start, and it got requests to its end."""
        directory = directory_with(endpoint(1, born_ms=2_000), endpoint(2))
        restarted = endpoint(1, born_ms=1_000, revision=20)
        directory.handle(DirectoryChanged(20, (restarted,)), 1.0)
        leaving = replace(restarted, is_leaving=True, revision=30)
        directory.handle(DirectoryChanged(30, (leaving,)), 2.0)
        self.assertEqual([e.incarnation for e in directory.endpoints(SERVICE)], ["i-2"])
        directory.handle(DirectoryChanged(40, (EndpointRemoved("i-1"),)), 3.0)
        self.assertEqual([e.incarnation for e in directory.all_endpoints()], ["i-2"])

    def test_a_late_draining_of_an_earlier_start_holds_until_the_next_heartbeat(self):
        directory = directory_with(endpoint(1, born_ms=2_000))
        late = endpoint(1, born_ms=1_000, is_leaving=True, revision=20)
        directory.handle(DirectoryChanged(20, (late,)), 1.0)
        directory.handle(DirectoryChanged(30, (endpoint(1, born_ms=2_000, revision=30),)), 2.0)
        self.assertEqual([e.incarnation for e in directory.endpoints(SERVICE)], ["i-1"])

    def test_an_endpoint_whose_address_is_reused_by_a_newer_one_gets_no_work(self):
        old = endpoint(1, born_ms=1_000)
        directory = directory_with(old, config=declaring(SERVICE, "other"))
        other = endpoint(2, server=old.server, service="other", born_ms=2_000, revision=11)
        directory.handle(DirectoryChanged(11, (other,)), 1.0)
        self.assertEqual(names(directory), [], "the server of this registration has stopped")
        directory.handle(DirectoryChanged(12, (EndpointRemoved("i-2"),)), 2.0)
        self.assertEqual(names(directory), ["i-1"])

    def test_a_late_write_of_an_older_start_does_not_reclaim_the_address(self):
        directory = directory_with(endpoint(1, born_ms=1_000), endpoint(2, born_ms=2_000))
        late = endpoint(1, server=endpoint(2).server, born_ms=1_000, revision=30)
        directory.handle(DirectoryChanged(30, (late,)), 1.0)
        self.assertEqual(names(directory), ["i-2"])

    def test_a_late_write_of_an_older_start_with_the_same_id_is_refused(self):
        directory = directory_with(endpoint(1, born_ms=2_000, is_leaving=True))
        late = endpoint(1, born_ms=1_000, revision=30)
        records = directory.handle(DirectoryChanged(30, (late,)), 1.0)
        self.assertEqual(names(directory), [])
        self.assertIn("registration_refused", events_of(records))

    def test_loss_and_recovery_of_the_platform_are_recorded_once(self):
        directory = directory_with(endpoint(1))
        self.assertEqual(events_of(directory.handle(DirectoryLost("x"), 1.0)), ["directory_lost"])
        self.assertEqual(events_of(directory.handle(DirectoryLost("x"), 2.0)), [])
        records = directory.handle(DirectoryChanged(11, ()), 3.0)
        self.assertEqual(events_of(records), ["directory_regained"])
