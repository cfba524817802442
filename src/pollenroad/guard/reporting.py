"""What a guard tells of its load, with answers and alone, and when it probes its server."""

from msgspec.structs import replace

from pollenroad.boundary import ProbeServer, SendPeer
from pollenroad.guard.measuring import MeasuringShare, Subscribers
from pollenroad.messages import AttemptAnswer, LoadReport

PROBE_IDLE_S = 2.0
"""Time without service after which the server is probed, in seconds."""

PROBE_TIMEOUT_S = 0.5
"""Time for one probe in seconds."""


class Reporting:
    """Load reports and probes of one guard, within its share of the measuring budget."""

    def __init__(self):
        self.share = MeasuringShare()
        self.subscribers = Subscribers()
        self.is_probing = False
        """Whether a probe is at the server."""
        self._last_served = 0.0
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the number of the next report."""
        self._sequence += 1
        return self._sequence

    def answer(self, peer: str, answer: AttemptAnswer, report: LoadReport) -> SendPeer:
        """Return the action that sends an answer with the load, which is no message of its own."""
        self.subscribers.told(peer, report)
        return SendPeer(peer, replace(answer, load=report))

    def push(self, report: LoadReport, now: float) -> list[SendPeer]:
        """Return the actions that tell entries of a load that is news to them."""
        if not self.share.may_report(now):
            return []
        actions = []
        for peer in self.subscribers.worth_telling(report, now):
            if not self.share.try_report(now):
                break
            self.subscribers.told(peer, report)
            actions.append(SendPeer(peer, report))
        return actions

    def served(self, now: float) -> None:
        """Note an answer of the server, which tells as much as a probe."""
        self._last_served = now

    def probe(self, has_slot: bool, now: float) -> list[ProbeServer]:
        """Return the probe that is due, if the server has a slot for it and the share allows it."""
        is_idle = now - self._last_served >= PROBE_IDLE_S
        if self.is_probing or not is_idle or not has_slot or not self.share.try_probe(now):
            return []
        self.is_probing = True
        return [ProbeServer(PROBE_TIMEOUT_S)]
