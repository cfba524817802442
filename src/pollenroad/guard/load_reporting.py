"""Load reports of a guard, sent with answers or separately, and probes of its server."""

from msgspec.structs import replace

from pollenroad.boundary import ProbeServer, SendPeer
from pollenroad.guard.measuring_budget import BudgetShare, Subscribers
from pollenroad.messages import AttemptAnswer, LoadReport

PROBE_IDLE_S = 2.0
"""Time without a served request after which the server is probed, in seconds."""

PROBE_TIMEOUT_S = 0.5
"""Timeout of a probe, in seconds."""


class LoadReporter:
    """Sends load reports and probes of one guard within its share of the measuring budget."""

    def __init__(self):
        self.share = BudgetShare()
        self.subscribers = Subscribers()
        self.is_probing = False
        """Whether a probe is running at the server."""
        self._last_served = 0.0
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the sequence number of the next report."""
        self._sequence += 1
        return self._sequence

    def answer(self, peer: str, answer: AttemptAnswer, report: LoadReport) -> SendPeer:
        """Return the action that sends an answer with the load, which costs no separate message."""
        self.subscribers.record_sent(peer, report)
        return SendPeer(peer, replace(answer, load=report))

    def push(self, report: LoadReport, now: float) -> list[SendPeer]:
        """Return the actions that send `report` to the entries for which the load has changed."""
        if not self.share.can_report(now):
            return []
        actions = []
        for peer in self.subscribers.peers_to_update(report, now):
            if not self.share.try_report(now):
                break
            self.subscribers.record_sent(peer, report)
            actions.append(SendPeer(peer, report))
        return actions

    def served(self, now: float) -> None:
        """Record an answer of the server, which makes a probe unnecessary for `PROBE_IDLE_S`."""
        self._last_served = now

    def probe(self, has_slot: bool, now: float) -> list[ProbeServer]:
        """Return the probe that is due, if the server has a free slot and the share allows it."""
        is_idle = now - self._last_served >= PROBE_IDLE_S
        if self.is_probing or not is_idle or not has_slot or not self.share.try_probe(now):
            return []
        self.is_probing = True
        return [ProbeServer(PROBE_TIMEOUT_S)]
