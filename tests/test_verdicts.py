"""Tests of the verdict and of what may be retried after it."""

import unittest

from pollenroad.verdicts import Verdict, may_retry


class MayRetryTest(unittest.TestCase):
    def test_only_not_run_may_be_retried_without_idempotency(self):
        allowed = [verdict for verdict in Verdict if may_retry(verdict, idempotent=False)]
        self.assertEqual(allowed, [Verdict.NOT_RUN])

    def test_unknown_may_be_retried_when_idempotent(self):
        self.assertTrue(may_retry(Verdict.UNKNOWN, idempotent=True))

    def test_a_whole_answer_is_never_retried(self):
        self.assertFalse(may_retry(Verdict.RAN, idempotent=True))
