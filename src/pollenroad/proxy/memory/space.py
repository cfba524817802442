"""The account of held bytes for tasks: waiting for space, and returning it with the message.

The bytes of a message are returned when the message itself is freed, so that no path on which one
is dropped can be missed: a cancelled attempt, a lost link, a task that was killed.
"""

import time
import weakref
from collections.abc import Callable

import gevent
from gevent.event import Event as Flag

from pollenroad.exceptions import NoSpaceError
from pollenroad.logs import log
from pollenroad.messages import Request, Response
from pollenroad.proxy.memory.account import (
    SMALL_MESSAGE_BYTES,
    Account,
    AccountLimits,
    Purpose,
    Ticket,
)

CLOSE_INTERVAL_S = 0.1
"""Time between two callers that are closed for memory, in seconds: the bytes of the first may
suffice."""


def _log(name: str, values: dict[str, object]) -> None:
    log(name, **values)


class Grant:
    """Space that one message takes; it is returned by `release`, or when the grant is freed."""

    __slots__ = ("_space", "count", "is_small", "purpose")

    def __init__(self, space: "Space", purpose: Purpose, count: int, is_small: bool):
        self._space: Space | None = space
        self.purpose = purpose
        self.count = count
        self.is_small = is_small

    def release(self) -> None:
        """Return the space; a second call has no effect."""
        space, self._space = self._space, None
        if space is not None:
            space.returned(self)

    def __del__(self):
        self.release()

    def shrink(self, count: int) -> None:
        """Return what exceeds `count` bytes."""
        if self._space is not None and count < self.count:
            self._space.returned(Grant(None, self.purpose, self.count - count, self.is_small))
            self.count = count


class Space:
    """Space for messages in the memory of one daemon.

    Args:
        limits: Most bytes that are held at once.
        record: Counts and logs an event.
    """

    def __init__(
        self,
        limits: AccountLimits | None = None,
        record: Callable[[str, dict[str, object]], None] = _log,
    ):
        self.account = Account(limits or AccountLimits())
        self.record = record
        self.close_caller: Callable[[], None] = lambda: None
        """Closes the connection of the caller that holds the most for the longest, if any."""
        self._flag_by_ticket: dict[Ticket, Flag] = {}
        self._held_by_id: dict[int, tuple[weakref.ref, Grant]] = {}
        self._is_closing_callers = False

    # --- Taking space ---

    def acquire(self, purpose: Purpose, count: int, timeout_s: float) -> Grant:
        """Wait for the space of one message.

        Args:
            purpose: What the message is held for.
            count: Its length in bytes.
            timeout_s: Longest wait, in seconds.

        Raises:
            NoSpaceError: If there is none in that time, or it is known that there will be none.
        """
        account = self.account
        if count <= SMALL_MESSAGE_BYTES:
            if account.try_small(purpose, count):
                return Grant(self, purpose, count, is_small=True)
            self._close_callers()
            raise self._refusal(purpose, count, 0.0)
        if account.try_acquire(purpose, count):
            return Grant(self, purpose, count, is_small=False)
        if account.is_hopeless(purpose, count, timeout_s, time.monotonic()):
            raise self._refusal(purpose, count, 0.0)
        return self._wait(purpose, count, timeout_s)

    def _wait(self, purpose: Purpose, count: int, timeout_s: float) -> Grant:
        started = time.monotonic()
        ticket = self.account.wait(purpose, count, started)
        flag = self._flag_by_ticket[ticket] = Flag()
        grant = None
        try:
            self.record("memory_waited", {"purpose": purpose.value, "bytes": count})
            self._close_callers()
            flag.wait(timeout_s)
            if ticket.is_granted:
                grant = Grant(self, purpose, count, is_small=False)
                return grant
            raise self._refusal(purpose, count, time.monotonic() - started)
        finally:
            self._flag_by_ticket.pop(ticket, None)
            if grant is None:  # Also if this task was killed after space was granted.
                self._wake(self.account.withdraw(ticket, time.monotonic()))

    def _refusal(self, purpose: Purpose, count: int, waited_s: float) -> NoSpaceError:
        retry_after_s = self.account.retry_after_s(purpose, count, time.monotonic())
        self.record(
            "memory_refused",
            {
                "purpose": purpose.value,
                "bytes": count,
                "held_bytes": self.account.held_bytes,
                "waited_ms": round(waited_s * 1000),
                "retry_after_ms": round(retry_after_s * 1000),
            },
        )
        return NoSpaceError(f"no space for {count} bytes ({purpose.value})", retry_after_s)

    # --- Messages that were read ---

    def hold(self, message: object, grant: Grant) -> None:
        """Return the space of a grant when `message` is freed."""
        key = id(message)
        self._held_by_id[key] = (weakref.ref(message, lambda _: self._forget(key)), grant)

    def hold_body(self, message: Request | Response, grant: Grant | None) -> None:
        """Return the space of a body when its message is freed, and what exceeds the body now."""
        if grant is not None:
            grant.shrink(len(message.body))
            self.hold(message, grant)

    def hold_as(self, message: object, purpose: Purpose, count: int) -> None:
        """Count a message under a purpose, whether or not it is held already."""
        held = self._held_by_id.get(id(message))
        if held is None:
            if count:
                self.account.add_small(purpose, count)
                self.hold(message, Grant(self, purpose, count, is_small=True))
        elif held[1].purpose is not purpose:
            self._move(held[1], purpose)
        if self.account.is_small_full:
            self._close_callers()

    def _move(self, grant: Grant, purpose: Purpose) -> None:
        old, grant.purpose = grant.purpose, purpose
        if grant.is_small:
            self.account.add_small(old, -grant.count)
            self.account.add_small(purpose, grant.count)
        else:
            self._wake(self.account.move(old, purpose, grant.count))

    def _forget(self, key: int) -> None:
        if held := self._held_by_id.pop(key, None):
            held[1].release()

    def queued(self, count: int) -> None:
        """Count bytes of frames that are queued for a peer; a negative count returns them."""
        self.account.queued_bytes += count

    # --- Returning space ---

    def returned(self, grant: Grant) -> None:
        """Take back the space of a grant."""
        if grant.is_small:
            self.account.add_small(grant.purpose, -grant.count)
        else:
            self._wake(self.account.release(grant.purpose, grant.count, time.monotonic()))

    def _wake(self, granted: list[Ticket]) -> None:
        for ticket in granted:
            if flag := self._flag_by_ticket.get(ticket):
                flag.set()

    def _close_callers(self) -> None:
        """Start to close callers that do not read, while their bytes are needed."""
        if not self._is_closing_callers:
            self._is_closing_callers = True
            gevent.spawn(self._close_until_enough)

    def _close_until_enough(self) -> None:
        try:
            while self.account.has_waiting or self.account.is_small_full:
                if self.account.needs_callers_closed:
                    self.close_caller()
                gevent.sleep(CLOSE_INTERVAL_S)
        finally:
            self._is_closing_callers = False
