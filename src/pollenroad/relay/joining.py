"""When a starting daemon knows enough to take work.

A new daemon has no memory, and the platform may be stale, so it first asks its peers for the newest
documents that they hold. The wait is bounded: where no peer answers, it goes by the platform alone
and says so. No I/O.
"""

ANSWERS_WANTED = 3
"""Answers of working peers after which the newest documents are taken as known."""

ANSWER_WAIT_S = 1.5
"""Wait for further answers after the first one of a working peer, in seconds."""

QUIET_S = 1.0
"""Time without a new document that counts as settled while all daemons start, in seconds."""

JOIN_WAIT_S = 10.0
"""Longest wait for any peer, in seconds; then the platform's documents are taken alone."""


class Joining:
    """What a starting daemon waits for."""

    def __init__(self):
        self._started_at: float | None = None
        self._changed_at = 0.0
        self._first_answer_at: float | None = None
        self._working: set[str] = set()
        self._joining: set[str] = set()

    def begin(self, now: float) -> None:
        """Note the first event."""
        if self._started_at is None:
            self._started_at = now
            self._changed_at = now

    @property
    def is_answered(self) -> bool:
        """Whether any peer answered."""
        return bool(self._working or self._joining)

    def has_answered(self, peer: str) -> bool:
        """Tell whether a working peer gave all that it holds."""
        return peer in self._working

    def note_change(self, now: float) -> None:
        """Note that a document came in."""
        self._changed_at = now

    def note_answer(self, peer: str, joining: bool, now: float) -> None:
        """Note that a peer told all digests that it holds."""
        if joining:
            self._joining.add(peer)
            return
        self._working.add(peer)
        if self._first_answer_at is None:
            self._first_answer_at = now

    def is_over(self, links: int, settled: bool, platform_read: bool, now: float) -> bool:
        """Tell whether the daemon may take work; it holds documents.

        Args:
            links: Number of peers asked.
            settled: Whether nothing that was announced or listed is still missing.
            platform_read: Whether the platform was read lately, by this daemon or another one.
            now: Monotonic time in seconds.
        """
        if now - self._started_at >= JOIN_WAIT_S:
            return True
        if not settled:
            return False
        if self._working:
            enough = len(self._working) >= min(ANSWERS_WANTED, links)
            return enough or now - self._first_answer_at >= ANSWER_WAIT_S
        all_start = len(self._joining) * 2 >= links
        return all_start and platform_read and now - self._changed_at >= QUIET_S


def make_joining() -> Joining:
    """Make the state of a daemon that has just started."""
    return Joining()
