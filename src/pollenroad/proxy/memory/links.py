"""The account of held bytes for the links between daemons."""

from pollenroad.messages import Attempt, AttemptAnswer, PeerMessage, Response
from pollenroad.proxy.memory.account import Purpose, message_bytes
from pollenroad.proxy.memory.space import Grant, Space

MAX_ATTEMPT_WAIT_S = 3.0
"""Longest time for which an attempt waits unread on its link, in seconds; half of the time it has
left if that is shorter, so that another guard can still run it."""

RESPONSE_WAIT_S = 10.0
"""Longest time for which a response waits unread on its link, in seconds: callers that do not read
are closed within it. A request that ends before is answered as timed out."""

DECODED_COPIES = 2
"""Copies of a long body while a frame of an earlier build is decoded."""


class LinkSpace:
    """Space for the messages on links.

    Args:
        space: Space of the daemon.
    """

    def __init__(self, space: Space):
        self._space = space

    def reserve(self, message: Attempt | AttemptAnswer, count: int) -> Grant:
        """Wait for space for a long body, given its message.

        Raises:
            NoSpaceError: If there is none in the time of the message.
        """
        if isinstance(message, Attempt):
            timeout_s = max(0.0, min(MAX_ATTEMPT_WAIT_S, message.remaining_ms / 2000))
            return self._space.acquire(Purpose.GUARD_REQUESTS, count, timeout_s)
        return self._space.acquire(Purpose.ENTRY_RESPONSES, count, RESPONSE_WAIT_S)

    def reserve_frame(self, is_request: bool, count: int) -> Grant:
        """Wait for space for a long frame on an ordinary link, of which nothing else is known.

        Raises:
            NoSpaceError: If there is none in time.
        """
        purpose = Purpose.GUARD_REQUESTS if is_request else Purpose.ENTRY_RESPONSES
        return self._space.acquire(purpose, DECODED_COPIES * count, RESPONSE_WAIT_S)

    def received(self, message: PeerMessage, grant: Grant | None) -> bool:
        """Count a message that was read until it is freed; return False if it must be refused."""
        match message:
            case Attempt(request=held):
                purpose = Purpose.GUARD_REQUESTS
                if grant is None and self._space.account.is_small_full and held.body:
                    return False
            case AttemptAnswer(response=Response() as held):
                purpose = Purpose.ENTRY_RESPONSES
            case _:
                return True
        if grant is not None:
            self._space.hold_body(held, grant)
        else:
            self._space.hold_as(held, purpose, message_bytes(held))
        return True

    def queued(self, count: int) -> None:
        """Count bytes of frames that are queued; a negative count returns them."""
        self._space.queued(count)
