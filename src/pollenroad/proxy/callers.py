"""Open requests of all callers, and what their connections share and hold together."""

import time
from collections.abc import Callable
from typing import Protocol

from pollenroad.boundary import AnswerCall
from pollenroad.proxy.boundary import Event
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.memory.account import Purpose, message_bytes
from pollenroad.proxy.memory.slow_callers import UnreadResponses, choose_caller
from pollenroad.proxy.memory.space import Space
from pollenroad.published import CallerLimits


class AnswerWriter(Protocol):
    """The connection of a caller, as far as an answer to one of its requests needs it."""

    def set_answer(self, answer: AnswerCall) -> None:
        """Write an answer once all earlier ones are written."""

    def unread(self) -> UnreadResponses:
        """Return what is held of responses for this connection."""

    def close_for_memory(self) -> None:
        """Close the connection and drop its responses."""


class Callers:
    """Open requests of callers, by the connection that waits for each answer.

    Args:
        dialect: Names of the header fields.
        post: Passes an event to the cores.
        memory: Space for what is held.
    """

    def __init__(
        self, dialect: Dialect, post: Callable[[Event], None], memory: Space | None = None
    ):
        self.dialect = dialect
        self.post = post
        self.limits = CallerLimits()
        self.is_closing = False
        """Whether connections are closed after their last answer."""
        self.is_refusing = False
        """Whether new requests are refused because the daemon is about to exit."""
        self.reading = 0
        """Number of requests that have been received in part."""
        self.memory = memory or Space()
        self.memory.close_caller = self._close_slowest
        self.connections: set[AnswerWriter] = set()
        """All open connections."""
        self._count = 0
        self._connection_by_call: dict[str, AnswerWriter] = {}

    @property
    def open_requests(self) -> int:
        """Number of requests whose answer has not been written to the socket."""
        return len(self._connection_by_call)

    def answer(self, answer: AnswerCall) -> None:
        """Pass an answer to the connection that waits for it."""
        connection = self._connection_by_call.get(answer.call_id)
        if connection is not None:
            if answer.response is not None:
                count = message_bytes(answer.response)
                self.memory.hold_as(answer.response, Purpose.ENTRY_RESPONSES, count)
            connection.set_answer(answer)

    def register(self, connection: AnswerWriter) -> str:
        """Register a new request of a connection and return its id."""
        self._count += 1
        call_id = str(self._count)
        self._connection_by_call[call_id] = connection
        return call_id

    def forget(self, call_id: str) -> None:
        """Remove a request that was answered or abandoned."""
        self._connection_by_call.pop(call_id, None)

    def _close_slowest(self) -> None:
        """Close the connection that holds the most bytes of responses for the longest."""
        connection_by_id = {id(each): each for each in self.connections}
        unread = (connection.unread() for connection in connection_by_id.values())
        if connection_id := choose_caller(unread, time.monotonic()):
            connection_by_id[connection_id].close_for_memory()
