"""Load shedding at one guard: who waits, who gives way, and what refused callers are told, by rank.

Load: more work than the server can do, or a server that rejects requests itself. Nothing here acts
unless the configuration in force calls for load shedding.
"""

import dataclasses
import random

from msgspec.structs import replace

from pollenroad.guard.admission import AdmissionQueue, WaitingAttempt
from pollenroad.guard.running_attempts import RunningAttempt
from pollenroad.messages import AttemptAnswer
from pollenroad.proxy.admission.activation import Activation
from pollenroad.proxy.admission.class_shares import ClassShares
from pollenroad.proxy.admission.displacement import displaced
from pollenroad.proxy.admission.rejections import Rejections, short_pause_s
from pollenroad.proxy.admission_policy import AdmissionPolicy
from pollenroad.proxy.answers import is_success
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.local_server import LocalServer
from pollenroad.proxy.overload import MIN_RETURN_S, return_after_s
from pollenroad.proxy.refusals import DISPLACED, OVERLOADED, SHED

MIN_RETURN_S_BY_RANK = {0: 0.1, 1: 0.2}
"""Shortest pause of refused callers by rank, in seconds; `MIN_RETURN_S` for all other ranks."""


class GuardShedding:
    """Decisions of one guard while load shedding is enabled."""

    def __init__(
        self,
        directory: Directory,
        local: LocalServer,
        policy: AdmissionPolicy,
        queue: AdmissionQueue,
    ):
        self._activation = Activation(directory)
        self._local = local
        self._policy = policy
        self.queue = queue
        self._class_shares = ClassShares()
        self._rejections = Rejections()
        self._rng = random.Random(f"shedding/{local.address}")

    def ranked(self, waiting: WaitingAttempt, now: float) -> WaitingAttempt:
        """Return an attempt that has just arrived with the order and the share of its class."""
        if not self._activation.is_enabled:
            return waiting
        attempt, name = waiting.attempt, waiting.request_class.name
        if not attempt.refusals:  # Others have been counted where they arrived first.
            self._class_shares.offered(name, waiting.work_s, now)
        share = self._class_shares.guaranteed_share(name, attempt.priority, self._local.slots)
        request_class = replace(waiting.request_class, guaranteed_share=share)
        return dataclasses.replace(waiting, request_class=request_class, is_rank_first=True)

    def displaced(self, now: float) -> list[WaitingAttempt]:
        """Remove and return the attempts that give way to one that has just been queued."""
        if not self._activation.is_enabled:
            return []
        return displaced(self.queue, self._policy.bound(self._local.slots), now)

    def return_after_s(self, waiting: WaitingAttempt, reason: str, now: float) -> float:
        """Return after which pause a refused caller may return, in seconds; 0 to state none.

        A higher rank is told a shorter pause: what is queued for lower ranks does not delay it.
        """
        slots = self._local.slots
        if reason not in (OVERLOADED, DISPLACED) or not self._activation.is_enabled:
            return self._policy.return_after_s(reason, self.queue, slots, now)
        work_s = self.queue.work_ahead_s(waiting, now)
        shortest_s = MIN_RETURN_S_BY_RANK.get(waiting.attempt.priority, MIN_RETURN_S)
        return return_after_s(work_s, self._policy.bound(slots), self._rng, shortest_s)

    def started(self, waiting: WaitingAttempt, others: int) -> None:
        """Record an attempt that is sent to the server while it runs `others` requests."""
        self._rejections.started(waiting.attempt.attempt_id, others, self._local.slots)

    def ended(self, running: RunningAttempt, answer: AttemptAnswer, now: float) -> AttemptAnswer:
        """Record the end of an attempt; return its answer, with a pause if it was rejected."""
        is_rejected = answer.reason == SHED
        self._rejections.ended(answer.attempt_id, is_rejected, now)
        if is_success(answer):
            self._class_shares.served(running.waiting.request_class.name, now)
        if not is_rejected or not self._activation.is_enabled:
            return answer
        return replace(answer, retry_after_ms=1000 * self._pause_s(running.waiting, now))

    def _pause_s(self, waiting: WaitingAttempt, now: float) -> float:
        if self._rejections.share(now):
            return short_pause_s(waiting.attempt.priority, waiting.deadline - now, self._rng)
        slots = self._policy.bound(self._local.slots)
        return return_after_s(self.queue.work_s(), slots, self._rng)

    def rejection_share(self, now: float) -> float:
        """Return the share that the server rejects although it has capacity, to be reported."""
        return self._rejections.share(now) if self._activation.is_enabled else 0.0
