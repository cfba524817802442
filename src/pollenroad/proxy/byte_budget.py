"""Bound on the bytes of bodies that a daemon holds at once, over all of its connections."""


class ByteBudget:
    """Bytes in use, and how many there may be.

    Args:
        limit_bytes: Most bytes in use at once.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def try_acquire(self, count: int) -> bool:
        """Take `count` bytes; return False, and take none, if that would exceed the limit."""
        if self.used_bytes + count > self.limit_bytes:
            return False
        self.used_bytes += count
        return True

    def release(self, count: int) -> None:
        """Return `count` bytes that were taken."""
        self.used_bytes -= count


class Reservation:
    """Bytes that one exchange has taken from a budget; they are returned together."""

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._taken_bytes = 0

    def try_extend(self, count: int) -> bool:
        """Take `count` more bytes; return False, and take none, if the budget has no room."""
        if not self._budget.try_acquire(count):
            return False
        self._taken_bytes += count
        return True

    def release(self) -> None:
        """Return all bytes that were taken; a second call has no effect."""
        self._budget.release(self._taken_bytes)
        self._taken_bytes = 0
