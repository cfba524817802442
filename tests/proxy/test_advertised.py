"""What a server states about itself: parsing, and the state that a guard keeps and logs."""

import unittest

from pollenroad.proxy.advertised import UNLIMITED, RateLimit, UnreadableLimit, parse_limit
from pollenroad.proxy.boundary import ServerAdvertised
from tests.proxy.samples import endpoint, events_of, guard_with


class ParseLimitTest(unittest.TestCase):
    def test_a_limit_is_a_decimal_number(self):
        for text, per_s in (("5.5", 5.5), ("0", 0.0), (" 12 ", 12.0), (".5", 0.5)):
            with self.subTest(text=text):
                self.assertEqual(parse_limit(text), RateLimit(per_s))

    def test_a_missing_limit_is_no_limit(self):
        self.assertEqual(parse_limit(""), UNLIMITED)

    def test_anything_else_is_unreadable(self):
        for text in ("-1", "nan", "inf", "1e3", "1_000", "5, 7", "٣", "five"):
            with self.subTest(text=text):
                self.assertEqual(parse_limit(text), UnreadableLimit(text))


class GuardRecordsTest(unittest.TestCase):
    def test_a_changed_limit_is_logged_once(self):
        guard = guard_with(endpoint(1))
        event = ServerAdvertised("i-1", RateLimit(5.0))
        self.assertIn("server_limit", events_of(guard.handle(event, 1.0)))
        self.assertNotIn("server_limit", events_of(guard.handle(event, 1.1)))
        self.assertIn("server_limit", events_of(guard.handle(ServerAdvertised("i-1"), 1.2)))

    def test_an_unreadable_limit_is_logged_once_and_changes_nothing(self):
        guard = guard_with(endpoint(1))
        guard.handle(ServerAdvertised("i-1", RateLimit(5.0)), 1.0)
        event = ServerAdvertised("i-1", UnreadableLimit("five"))
        self.assertIn("server_limit", events_of(guard.handle(event, 1.1)))
        self.assertNotIn("server_limit", events_of(guard.handle(event, 1.2)))
        self.assertEqual(guard.limit_per_s, 5.0)

    def test_statements_of_another_incarnation_are_ignored(self):
        guard = guard_with(endpoint(1))
        guard.handle(ServerAdvertised("i-0", RateLimit(5.0)), 1.0)
        self.assertEqual(guard.limit_per_s, float("inf"))


if __name__ == "__main__":
    unittest.main()
