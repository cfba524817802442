"""The attempts that are at a server, from their hand-over until the shell reports their end."""

from dataclasses import dataclass

from pollenroad.guard.admission import SlotShares, Waiting


@dataclass(slots=True)
class Running:
    """An attempt at the server."""

    waiting: Waiting
    started: float
    """When it was handed over, in monotonic seconds."""
    is_wanted: bool = True
    """Whether its entry still waits for the answer."""


class AtServer:
    """What is at one server now.

    An attempt whose deadline has passed or whose entry has cancelled it stays here until the shell
    has closed its connection: until then the server may still work on it.
    """

    def __init__(self, shares: SlotShares):
        self._shares = shares
        self._running_by_id: dict[str, Running] = {}

    def __len__(self) -> int:
        return len(self._running_by_id)

    def start(self, waiting: Waiting, now: float) -> None:
        """Count an attempt that is handed to the server."""
        self._running_by_id[waiting.attempt.attempt_id] = Running(waiting, now)
        self._shares.started(waiting.request_class.name, now)

    def get(self, attempt_id: str) -> Running | None:
        """Return an attempt at the server, or None."""
        return self._running_by_id.get(attempt_id)

    def items(self) -> list[tuple[str, Running]]:
        """Return the attempts at the server by id, as of now."""
        return list(self._running_by_id.items())

    def end(self, attempt_id: str, now: float) -> Running:
        """Count an attempt as ended."""
        running = self._running_by_id.pop(attempt_id)
        self._shares.ended(running.waiting.request_class.name, now)
        return running
