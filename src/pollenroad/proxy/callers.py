"""Open requests of all callers, and what their connections share and hold together."""

from collections.abc import Callable
from typing import Protocol

from pollenroad.boundary import AnswerCall
from pollenroad.proxy.boundary import Event
from pollenroad.proxy.byte_budget import ByteBudget, Reservation
from pollenroad.proxy.dialect import Dialect
from pollenroad.published import CallerLimits

MAX_HELD_BODY_BYTES = 25_165_824
"""Bytes of request bodies that a daemon holds as an entry, over all connections: 24 MiB. They exist
several times while they are framed and sent, on VMs of 200 MB."""


class AnswerWriter(Protocol):
    """The connection of a caller, as far as an answer to one of its requests needs it."""

    def set_answer(self, answer: AnswerCall) -> None:
        """Write an answer once all earlier ones are written."""


class Callers:
    """Open requests of callers, by the connection that waits for each answer.

    Args:
        dialect: Names of the header fields.
        post: Passes an event to the cores.
    """

    def __init__(self, dialect: Dialect, post: Callable[[Event], None]):
        self.dialect = dialect
        self.post = post
        self.limits = CallerLimits()
        self.is_closing = False
        """Whether connections are closed after their last answer."""
        self.is_refusing = False
        """Whether new requests are refused because the daemon is about to exit."""
        self.reading = 0
        """Number of requests that have been received in part."""
        self.held_bodies = ByteBudget(MAX_HELD_BODY_BYTES)
        self._count = 0
        self._reservation_by_call: dict[str, Reservation] = {}
        self._connection_by_call: dict[str, AnswerWriter] = {}

    @property
    def open_requests(self) -> int:
        """Number of requests whose answer has not been written to the socket."""
        return len(self._connection_by_call)

    def answer(self, answer: AnswerCall) -> None:
        """Pass an answer to the connection that waits for it."""
        connection = self._connection_by_call.get(answer.call_id)
        if connection is not None:
            connection.set_answer(answer)

    def register(self, connection: AnswerWriter, reservation: Reservation) -> str:
        """Register a new request of a connection, and the bytes that it holds; return its id."""
        self._count += 1
        call_id = str(self._count)
        self._connection_by_call[call_id] = connection
        self._reservation_by_call[call_id] = reservation
        return call_id

    def forget(self, call_id: str) -> None:
        """Remove a request that was answered or abandoned."""
        self._connection_by_call.pop(call_id, None)
        if reservation := self._reservation_by_call.pop(call_id, None):
            reservation.release()
