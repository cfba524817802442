"""What the links between daemons need of an account of held bytes."""

from typing import Protocol

from pollenroad.messages import Attempt, AttemptAnswer, PeerMessage


class LinkGrant(Protocol):
    """Space for one message; it is returned by `release`, or when the grant is freed."""

    def release(self) -> None:
        """Return the space; a second call has no effect."""


class LinkMemory(Protocol):
    """Space for the messages on links."""

    def reserve(self, message: Attempt | AttemptAnswer, count: int) -> LinkGrant:
        """Wait for space for a long body, given its message.

        Raises:
            NoSpaceError: If there is none in the time of the message.
        """

    def reserve_frame(self, is_request: bool, count: int) -> LinkGrant:
        """Wait for space for a long frame on an ordinary link, of which nothing else is known.

        Raises:
            NoSpaceError: If there is none in time.
        """

    def received(self, message: PeerMessage, grant: LinkGrant | None) -> bool:
        """Count a message that was read until it is freed; return False if it must be refused."""

    def queued(self, count: int) -> None:
        """Count bytes of frames that are queued; a negative count returns them."""
