"""A short run of the soak with a fixed seed, and every seed that ever failed."""

import unittest

from tests.users.soak import REGRESSIONS, run

SEED = 1
SECONDS = 5.0


class SoakTest(unittest.TestCase):
    def test_no_promise_is_broken(self):
        for seed in (SEED, *REGRESSIONS):
            with self.subTest(seed=seed):
                self.assertEqual(run(seed, SECONDS, 110), [])
