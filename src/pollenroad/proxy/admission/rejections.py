"""Rejections by a server itself, and whether they follow its load.

Load: a server rejects part of its requests for seconds although it has capacity. The share that it
rejects is then about the same whether it runs few requests or many. A full server rejects only
while it runs many, and callers had better wait until some have ended.
"""

import random
from dataclasses import dataclass, field

from pollenroad.proxy.admission.activation import HIGHEST_RANK

HALF_LIFE_S = 2.0
"""Time in which the weight of an outcome halves, in seconds."""

LOW_LOAD_SHARE = 0.5
"""Share of the slots in use up to which a server counts as lightly loaded."""

MIN_OUTCOMES = 4.0
"""Weight of the outcomes from which a share is used: by fewer, one rejection would decide."""

MIN_SHARE = 0.1
"""Least share of rejections at low load for which the server rejects although it has capacity."""

MAX_RATIO = 2.0
"""Share of rejections at high load, as a multiple of that at low load, up to which it is taken as
the same."""

PAUSE_STEP_S = 0.015
"""Pause of a caller at a server that has capacity, in seconds: one step for the highest rank, and
one more for each rank below it. Its return is a new request and takes no token."""

MIN_PAUSE_S, MAX_PAUSE_S = 0.01, 0.05
"""Bounds of that pause, in seconds."""

PAUSE_SPREAD = 0.3
"""Random deviation of the pause, as a share of it."""

MAX_PAUSE_SHARE = 0.1
"""Longest pause, as a share of the time that the request has left."""


@dataclass(slots=True)
class _Outcomes:
    total: float = 0.0
    rejected: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.total, self.rejected, self.at = self.total * factor, self.rejected * factor, now

    @property
    def share(self) -> float:
        return self.rejected / self.total if self.total >= MIN_OUTCOMES else 0.0


@dataclass(slots=True)
class Rejections:
    """Outcomes at one server, by its load when the request was sent to it."""

    _low: _Outcomes = field(default_factory=_Outcomes)
    _high: _Outcomes = field(default_factory=_Outcomes)
    _is_low_by_attempt: dict[str, bool] = field(default_factory=dict)

    def started(self, attempt_id: str, others: int, slots: int) -> None:
        """Record an attempt that is sent to the server while it runs `others` requests."""
        self._is_low_by_attempt[attempt_id] = others + 1 <= LOW_LOAD_SHARE * slots

    def ended(self, attempt_id: str, is_rejected: bool, now: float) -> None:
        """Record the end of an attempt at the server."""
        outcomes = self._low if self._is_low_by_attempt.pop(attempt_id, False) else self._high
        outcomes.decay(now)
        outcomes.total += 1
        outcomes.rejected += is_rejected

    def share(self, now: float) -> float:
        """Return the share that the server rejects although it has capacity; 0 if it does not."""
        self._low.decay(now)
        self._high.decay(now)
        share = self._low.share
        follows_load = self._high.share > MAX_RATIO * share
        return 0.0 if share < MIN_SHARE or follows_load else share


def short_pause_s(rank: int, left_s: float, rng: random.Random) -> float:
    """Return after which pause a rejected caller may return to a server that has capacity.

    Args:
        rank: Rank of the request; a higher one is told a shorter pause.
        left_s: Time that the request has left, in seconds.
        rng: Random source of the deviation: callers that were rejected together would otherwise
            return together.
    """
    pause_s = PAUSE_STEP_S * (1 + rank - HIGHEST_RANK)
    pause_s *= rng.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
    longest_s = max(MIN_PAUSE_S, min(MAX_PAUSE_S, MAX_PAUSE_SHARE * left_s))
    return min(longest_s, max(MIN_PAUSE_S, pause_s))
