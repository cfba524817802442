"""Tests of the audit trail and its merge."""

import unittest

from pollenroad.audit import AUDIT_TEXT_CHARS, AuditTrail, merge_trails, parse_trail


class AuditTrailTest(unittest.TestCase):
    def test_memory_is_bounded_and_one_kind_does_not_displace_another(self):
        trail = AuditTrail("vm-1", limit=10)
        trail.add(1.0, "accepted", "merrimack", version=1)
        for number in range(50):
            trail.add(2.0 + number, "membership", f"vm-{number}")
        self.assertEqual(len(trail), 11)
        self.assertEqual(trail.entries()[0].subject, "merrimack")

    def test_texts_are_bounded(self):
        trail = AuditTrail("vm-1")
        entry = trail.add(1.0, "refused", "k", reason="x" * 9999, sentences=["y" * 9999] * 999)
        self.assertEqual(len(entry.reason), AUDIT_TEXT_CHARS)
        self.assertLess(sum(map(len, entry.sentences)), 30_000)

    def test_trails_merge_into_one_time_line(self):
        one, two = AuditTrail("vm-1"), AuditTrail("vm-2")
        one.add(1.0, "accepted", "k", version=1)
        two.add(2.0, "accepted", "k", version=1)
        one.add(3.0, "accepted", "k", version=2)
        merged = merge_trails([parse_trail(one.to_json()), parse_trail(two.to_json())])
        self.assertEqual([entry.vm for entry in merged], ["vm-1", "vm-2", "vm-1"])
