"""The task that reads the platform: silent connections, and unexpected errors."""

import unittest
from unittest import mock

import gevent
from gevent.event import Event as Flag

from pollenroad.exceptions import PlatformError, UnreadableAnswer
from pollenroad.proxy import directory_reader
from pollenroad.proxy.boundary import DirectoryChanged, DirectoryLost, DirectoryRead, Position
from pollenroad.proxy.directory import make_directory
from pollenroad.proxy.directory_reader import DirectoryReader

WAIT_S = 10.0
"""Longest wait for something that takes milliseconds."""

BRIEF_S = 0.01


class FakePlatform:
    """A platform whose long polls hang while `is_deaf` is set, and that a reader can probe."""

    def __init__(self):
        self.epoch = 0
        self.revision = 1
        self.is_deaf = True
        self.is_silent = False
        self.errors: list[Exception] = []
        """Raised by the next reads and long polls."""
        self.polls = 0
        self.unreadable_after: set[int] = set()
        """Revisions after which the changes cannot be read."""
        self.is_probe_unreadable = False

    def read(self) -> DirectoryRead:
        if self.errors:
            raise self.errors.pop()
        return DirectoryRead(self.revision, None, epoch=self.epoch)

    def changes(self, after: int, wait_s: float) -> DirectoryChanged:
        self.polls += 1
        if self.errors:
            raise self.errors.pop()
        if after in self.unreadable_after:
            raise UnreadableAnswer("answer too long")
        while self.is_deaf or after >= self.revision:
            gevent.sleep(BRIEF_S)
            if wait_s < 1.0 and not self.is_deaf:
                break
        return DirectoryChanged(self.revision, (), after, epoch=self.epoch)

    def probe(self) -> Position:
        if self.is_silent:
            raise PlatformError("no answer in time")
        if self.is_probe_unreadable:
            raise UnreadableAnswer("answer too long")
        return Position(self.epoch, self.revision)

    def close(self) -> None:
        """Nothing to close: a killed task ends its own request."""


class DirectoryReaderTest(unittest.TestCase):
    def setUp(self):
        for name in ("PROBE_INTERVAL_S", "DEAF_AFTER_S", "RETRY_MIN_S"):
            patch = mock.patch.object(directory_reader, name, BRIEF_S)
            patch.start()
            self.addCleanup(patch.stop)
        self.platform = FakePlatform()
        self.directory = make_directory()
        self.events = []
        self.changed = Flag()
        self.reader = DirectoryReader(self.platform, self.directory, self._post, BRIEF_S)

    def _post(self, event):
        self.events.append(event)
        self.directory.handle(event, 0.0)
        self.changed.set()

    def _await(self, condition):
        with gevent.Timeout(WAIT_S):
            while not condition():
                self.changed.clear()
                self.changed.wait(BRIEF_S)

    def _start(self):
        self.reader.start()
        self.reader.watch(True)
        self._await(lambda: self.platform.polls == 1)

    def test_a_long_poll_at_a_platform_that_was_silent_is_sent_again(self):
        self._start()
        self.platform.is_silent = True
        self._await(lambda: isinstance(self.events[-1], DirectoryLost))
        self.platform.revision = 2
        self.platform.is_silent = self.platform.is_deaf = False
        self._await(lambda: self.directory.revision == 2)
        self.assertFalse(self.directory.is_lost)

    def test_a_long_poll_that_misses_changes_is_sent_again(self):
        self._start()
        self.platform.revision = 2
        self._await(lambda: self.platform.polls > 1)
        self.platform.is_deaf = False
        self._await(lambda: self.directory.revision == 2)

    def test_an_open_long_poll_without_changes_is_left_alone(self):
        self._start()
        gevent.sleep(20 * BRIEF_S)
        self.assertEqual(self.platform.polls, 1)
        self.assertFalse(self.directory.is_lost)

    def test_changes_that_cannot_be_read_are_not_asked_for_again(self):
        """The answer held more each time, and nothing was learned until the history was gone."""
        self.platform.is_deaf = False
        self._start()
        self.platform.unreadable_after = {1}
        self.platform.revision = 2
        self._await(lambda: self.directory.revision == 2)
        self.assertNotIn(DirectoryLost, [type(event) for event in self.events])
        self.platform.revision = 3
        self._await(lambda: self.directory.revision == 3)
        self.assertIsInstance(self.events[-1], DirectoryChanged)

    def test_a_probe_that_cannot_be_read_is_a_sign_of_life(self):
        self.platform.is_probe_unreadable = True
        self._start()
        gevent.sleep(20 * BRIEF_S)
        self.assertEqual((self.platform.polls, self.directory.is_lost), (1, False))

    def test_a_long_poll_whose_answer_arrives_slowly_is_left_alone(self):
        """An answer that took longer than a second was broken off, and asked for again."""
        self._start()
        self.platform.revision = 2
        for _ in range(40):
            self.platform.on_progress()
            gevent.sleep(BRIEF_S / 4)
        self.assertEqual(self.platform.polls, 1)

    def test_an_unexpected_error_does_not_end_the_reader(self):
        self.platform.is_deaf = False
        self.platform.errors = [ValueError("of a long poll"), ValueError("of the first read")]
        self.reader.start()
        self.reader.watch(True)
        self._await(lambda: not self.platform.errors)
        self.platform.revision = 2
        self._await(lambda: self.directory.revision == 2)

    # It counted as reading the platform meanwhile, and its failure domain relied on it.
    def test_a_reader_that_fails_by_an_unexpected_error_has_lost_the_platform(self):
        self.platform.is_deaf = False
        self.platform.errors = [ValueError("of the first read")]
        self.reader.start()
        self._await(lambda: self.events)
        self.assertIsInstance(self.events[0], DirectoryLost)

    def test_a_watch_that_a_restored_platform_answers_leads_to_a_complete_read(self):
        self.platform.epoch = 1
        self._start()
        self.platform.epoch, self.platform.revision, self.platform.is_deaf = 2, 3, False
        self._await(lambda: self.directory.position == Position(2, 3))
        kinds = [type(event) for event in self.events]
        second_read = kinds.index(DirectoryRead, 1)
        self.assertEqual(set(kinds[1:second_read]), {DirectoryLost})

    def test_an_open_watch_at_a_restored_platform_is_replaced(self):
        self.platform.epoch = 1
        self._start()
        self.platform.epoch = 2
        self._await(lambda: self.directory.position == Position(2, 1))

    def test_a_late_answer_of_an_earlier_epoch_is_not_applied(self):
        self.platform.epoch = 2
        self._start()
        self.platform.epoch, self.platform.revision, self.platform.is_deaf = 1, 9, False
        self._await(lambda: isinstance(self.events[-1], DirectoryLost))
        self.assertEqual(self.directory.position, Position(2, 1))

    def test_watching_that_stops_within_an_update_leaves_one_reader(self):
        self._start()
        self.platform.is_deaf = False
        self.platform.revision = 2
        real_post = self._post

        def stop_watching(event):
            real_post(event)
            self.reader.watch(False)

        self.reader._post = stop_watching
        self._await(lambda: self.directory.revision == 2)
        self.reader._post = real_post
        polls = self.platform.polls
        self.reader.watch(True)
        self._await(lambda: self.platform.polls > polls)
        gevent.sleep(5 * BRIEF_S)
        self.assertEqual(self.platform.polls, polls + 1)


if __name__ == "__main__":
    unittest.main()
