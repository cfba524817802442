"""Attempts running at a server, from when they are sent until the shell reports their end."""

from dataclasses import dataclass

from pollenroad.guard.admission import SlotShares, WaitingAttempt


@dataclass(slots=True)
class RunningAttempt:
    """An attempt running at the server."""

    waiting: WaitingAttempt
    started: float
    """When it was sent to the server, in monotonic seconds."""
    has_waiting_entry: bool = True
    """Whether its entry still waits for the answer."""

    def is_repeatable_of(self, peer: str) -> bool:
        """Return whether it is an idempotent attempt of the entry at a peer address."""
        return self.waiting.peer == peer and self.waiting.attempt.idempotent


class RunningAttempts:
    """Attempts running at one server.

    An attempt past its deadline or cancelled by its entry counts as running until the shell has
    closed its connection, because the server may work on it until then.
    """

    def __init__(self, shares: SlotShares):
        self._shares = shares
        self._running_by_id: dict[str, RunningAttempt] = {}

    def __len__(self) -> int:
        return len(self._running_by_id)

    def start(self, waiting: WaitingAttempt, now: float) -> None:
        """Add an attempt that is sent to the server."""
        self._running_by_id[waiting.attempt.attempt_id] = RunningAttempt(waiting, now)
        self._shares.started(waiting.request_class.name, now)

    def get(self, attempt_id: str) -> RunningAttempt | None:
        """Return a running attempt, or None if there is none with this id."""
        return self._running_by_id.get(attempt_id)

    def items(self) -> list[tuple[str, RunningAttempt]]:
        """Return a copy of the running attempts as pairs of id and attempt."""
        return list(self._running_by_id.items())

    def end(self, attempt_id: str, now: float) -> RunningAttempt:
        """Remove and return an attempt that ended.

        Raises:
            KeyError: No attempt with this id is running.
        """
        running = self._running_by_id.pop(attempt_id)
        self._shares.ended(running.waiting.request_class.name, now)
        return running
