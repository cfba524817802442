"""Attempts of an entry that were sent to guards and have not ended."""

from collections.abc import Iterator

from pollenroad.boundary import Action, SendPeer
from pollenroad.messages import CancelAttempt
from pollenroad.proxy.calls import OpenAttempt, OpenCall
from pollenroad.proxy.fleet import EndpointView


class OpenAttempts:
    """Open attempts by id; keeps the counts of their requests and endpoints."""

    def __init__(self):
        self._attempt_by_id: dict[str, OpenAttempt] = {}

    def __getitem__(self, attempt_id: str) -> OpenAttempt:
        return self._attempt_by_id[attempt_id]

    def open(self, call: OpenCall, attempt_id: str, view: EndpointView, now: float) -> None:
        """Record an attempt that is sent."""
        self._attempt_by_id[attempt_id] = OpenAttempt(call.arrived.call_id, view, now)
        call.open_attempt_ids.add(attempt_id)
        call.tried.add(view.endpoint.incarnation)
        call.attempts += 1
        view.own_in_flight += 1
        view.sent_since_report += 1

    def close(self, attempt_id: str) -> OpenAttempt | None:
        """Remove and return an attempt, or return None if it is not open."""
        attempt = self._attempt_by_id.pop(attempt_id, None)
        if attempt is not None:
            attempt.view.own_in_flight -= 1
        return attempt

    def learn_overdue(self, call: OpenCall, now: float) -> None:
        """Count the attempts of a request as failures of their servers if it is overdue."""
        if now >= call.deadline:
            for attempt_id in call.open_attempt_ids:
                self._attempt_by_id[attempt_id].view.failed(now)

    def cancel(self, call: OpenCall) -> Iterator[Action]:
        """Remove and cancel the attempts of a request that has been answered."""
        for attempt_id in sorted(call.open_attempt_ids):
            attempt = self.close(attempt_id)
            yield SendPeer(attempt.view.endpoint.guard, CancelAttempt(attempt_id))

    def behind(self, peer: str) -> list[str]:
        """Return the ids of the attempts that were sent to a guard."""
        return [i for i, a in self._attempt_by_id.items() if a.view.endpoint.guard == peer]
