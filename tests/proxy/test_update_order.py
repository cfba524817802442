"""Several changes of one endpoint in one update: the last one counts, at every daemon."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pollenroad.proxy.boundary import DirectoryChanged, DirectoryLost, EndpointRemoved
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.directory_updates import event_of, update_of
from pollenroad.published import DomainOut
from tests.proxy.samples import SERVICE, configuration, directory_with, endpoint

OTHERS = tuple(endpoint(number) for number in range(10, 22))
"""Enough for a few removals not to count as a lapse."""

READY, LEAVING, RESTARTED, REMOVED = "ready", "leaving", "restarted", "removed"


def items_of(steps: list[tuple[int, str]]) -> list:
    """Return the changes of endpoints by number; each restart of one has a later `born_ms`."""
    born_by_number, items = {1: 1, 2: 1}, []
    for revision, (number, kind) in enumerate(steps, 11):
        if kind == REMOVED:
            items.append(EndpointRemoved(f"i-{number}"))
            continue
        born_by_number[number] += kind == RESTARTED
        items.append(
            endpoint(
                number,
                born_ms=born_by_number[number],
                is_leaving=kind == LEAVING,
                revision=revision,
            )
        )
    return items


def new_directory() -> Directory:
    return directory_with(endpoint(1, born_ms=1), endpoint(2, born_ms=1), *OTHERS)


def used(directory: Directory) -> dict[str, int]:
    """Return the start of each endpoint in use, by incarnation."""
    others = {e.incarnation for e in OTHERS}
    endpoints = directory.endpoints(SERVICE)
    return {e.incarnation: e.born_ms for e in endpoints if e.incarnation not in others}


def expected(items: list) -> dict[str, int]:
    last_by_incarnation = {f"i-{number}": endpoint(number, born_ms=1) for number in (1, 2)}
    last_by_incarnation |= {item.incarnation: item for item in items}
    return {
        name: last.born_ms
        for name, last in last_by_incarnation.items()
        if not isinstance(last, EndpointRemoved) and not last.is_leaving
    }


class UpdateOrderTest(unittest.TestCase):
    # A removal in one update with an entry of the same endpoint was dropped, and never named again.
    def test_a_removal_behind_an_entry_of_the_same_endpoint_counts(self):
        directory = new_directory()
        items = (endpoint(1, born_ms=1, revision=11), EndpointRemoved("i-1"))
        directory.handle(DirectoryChanged(12, items, 10), 0.0)
        self.assertEqual(used(directory), {"i-2": 1})

    @settings(max_examples=400, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((1, 2)), st.sampled_from((READY, LEAVING, RESTARTED, REMOVED))
            ),
            min_size=1,
            max_size=7,
        )
    )
    def test_the_last_change_counts_at_watchers_and_at_those_they_tell(self, steps):
        items = items_of(steps)
        whole = DirectoryChanged(10 + len(items), tuple(items), 10)
        watcher, told, stepwise = new_directory(), new_directory(), new_directory()
        watcher.handle(whole, 0.0)
        told.handle(event_of(update_of(whole, 1e9), "peer"), 0.0)
        for revision, item in enumerate(items, 11):
            stepwise.handle(DirectoryChanged(revision, (item,), revision - 1), 0.0)
        for directory in (watcher, told, stepwise):
            self.assertEqual(used(directory), expected(items))

    # What it said before would otherwise be lost, and its end be taken for a lapse for 2.2 s.
    def test_an_endpoint_that_said_it_leaves_and_ended_in_one_update_has_not_lapsed(self):
        items = (endpoint(1, born_ms=1, is_leaving=True, revision=11), EndpointRemoved("i-1"))
        changed = DirectoryChanged(12, items, 10)
        for event in (changed, event_of(update_of(changed, 0.0), "peer")):
            directory = new_directory()
            directory.handle(DirectoryLost("no answer"), 0.0)
            directory.handle(event, 0.1)
            self.assertEqual([e for e in directory.all_endpoints() if e.incarnation == "i-1"], [])

    def test_the_last_statement_on_a_domain_and_the_newest_configuration_count(self):
        items = (
            configuration(3),
            DomainOut("a", True),
            DomainOut("b", True),
            configuration(2),
            DomainOut("a", False),
        )
        changed = DirectoryChanged(12, items, 10)
        for event in (changed, event_of(update_of(changed, 1e9), "peer")):
            directory = new_directory()
            directory.handle(event, 0.0)
            self.assertEqual(directory.out_domains, {"b"})
            self.assertEqual(directory.configuration.version, 3)


if __name__ == "__main__":
    unittest.main()
