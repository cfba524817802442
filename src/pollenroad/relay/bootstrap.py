"""Bootstrap of a daemon: when a starting daemon has learned enough to take work.

A new daemon has no stored state, and the platform may be stale, so it first asks its peers for the
newest documents that they have. The wait is bounded: if no peer answers, the daemon relies on the
platform alone and reports that.
"""

REQUIRED_ANSWERS = 3
"""Answers of serving peers after which the newest documents count as known."""

ANSWER_WAIT_S = 1.5
"""Wait for further answers after the first one of a serving peer, in seconds."""

QUIET_S = 1.0
"""Time without a new document after which bootstrap can end, in seconds, if at least half of the
peers are starting too."""

BOOTSTRAP_TIMEOUT_S = 10.0
"""Longest wait for peers, in seconds; then the daemon starts with the documents that it has."""


class Bootstrap:
    """Bootstrap state of one daemon."""

    def __init__(self):
        self._started_at: float | None = None
        self._changed_at = 0.0
        self._first_answer_at: float | None = None
        self._serving_peers: set[str] = set()
        self._starting_peers: set[str] = set()

    def begin(self, now: float) -> None:
        """Note the time of the first event; later calls have no effect."""
        if self._started_at is None:
            self._started_at = now
            self._changed_at = now

    @property
    def is_answered(self) -> bool:
        """Whether any peer answered."""
        return bool(self._serving_peers or self._starting_peers)

    def has_answered(self, peer: str) -> bool:
        """Return whether `peer` has sent all its digests as a serving peer, not a starting one."""
        return peer in self._serving_peers

    def note_document(self, now: float) -> None:
        """Note that a document was accepted."""
        self._changed_at = now

    def note_answer(self, peer: str, joining: bool, now: float) -> None:
        """Note that a peer has sent all its digests; `joining` if it is starting itself."""
        if joining:
            self._starting_peers.add(peer)
            return
        self._serving_peers.add(peer)
        if self._first_answer_at is None:
            self._first_answer_at = now

    def is_complete(self, links: int, settled: bool, platform_read: bool, now: float) -> bool:
        """Return whether a daemon that has at least one document can take work.

        Args:
            links: Number of peers asked.
            settled: Whether every document that was announced or listed has been received.
            platform_read: Whether this daemon or another one has read the platform recently.
            now: Monotonic time in seconds.
        """
        if now - self._started_at >= BOOTSTRAP_TIMEOUT_S:
            return True
        if not settled:
            return False
        if self._serving_peers:
            enough = len(self._serving_peers) >= min(REQUIRED_ANSWERS, links)
            return enough or now - self._first_answer_at >= ANSWER_WAIT_S
        most_start = len(self._starting_peers) * 2 >= links
        return most_start and platform_read and now - self._changed_at >= QUIET_S


def make_bootstrap() -> Bootstrap:
    """Make the bootstrap state of a daemon that has just started."""
    return Bootstrap()
