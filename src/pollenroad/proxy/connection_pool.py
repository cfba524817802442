"""Idle connections of a guard to its server.

A server may send an answer once more, late, on the connection that carried it. The id in an answer
tells such a copy from the answer to another request, but not from the answer to the same request
sent again. A connection therefore carries each request id only once.
"""

import time
from collections import deque
from dataclasses import dataclass, field

from pollenroad.proxy.http1 import ClientConnection

CONNECT_TIMEOUT_S = 0.5
"""Time to open a connection to a server on the same VM, in seconds."""

IDLE_REUSE_S = 4.0
"""Idle time after which a connection is not reused, in seconds: below the usual idle timeout of
servers, so that the server does not close it while a request is in transit."""

MAX_CARRIED_REQUESTS = 256
"""Requests after which a connection is closed, since it remembers the ids of all of them."""


@dataclass(slots=True)
class PooledConnection:
    """A connection, and the requests that were sent on it."""

    connection: ClientConnection
    carried_hashes: set[int] = field(default_factory=set)
    """Hashes of the ids of these requests, since callers choose how long an id is."""
    idle_since: float = 0.0


class ConnectionPool:
    """Connections to one server.

    Args:
        server: Address of the server.
    """

    def __init__(self, server: str):
        self._server = server
        self._idle: deque[PooledConnection] = deque()
        """The connection that became idle last is at the end."""

    def acquire(self, request_id: str, longest_idle_s: float) -> PooledConnection:
        """Return a connection for one request, which is recorded as carried.

        Args:
            request_id: Id of the request; no connection that has carried it is returned.
            longest_idle_s: Idle time up to which a connection is reused, in seconds.

        Raises:
            ExchangeError: If a new connection cannot be opened; nothing has been sent.
        """
        self._close_expired()
        pooled = self._take_idle(request_id, time.monotonic() - longest_idle_s)
        if pooled is None:
            pooled = PooledConnection(ClientConnection(self._server, CONNECT_TIMEOUT_S))
        pooled.carried_hashes.add(hash(request_id))
        return pooled

    def release(self, pooled: PooledConnection, can_reuse: bool) -> None:
        """Return a connection after an exchange; it is closed if it cannot be reused."""
        if can_reuse and len(pooled.carried_hashes) < MAX_CARRIED_REQUESTS:
            pooled.idle_since = time.monotonic()
            self._idle.append(pooled)
        else:
            pooled.connection.close()

    def clear(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().connection.close()

    def _take_idle(self, request_id: str, oldest: float) -> PooledConnection | None:
        for pooled in reversed(tuple(self._idle)):
            if pooled.idle_since < oldest:
                return None
            if hash(request_id) in pooled.carried_hashes:
                continue
            self._idle.remove(pooled)
            if pooled.connection.is_reusable():
                return pooled
            pooled.connection.close()
        return None

    def _close_expired(self) -> None:
        oldest = time.monotonic() - IDLE_REUSE_S
        while self._idle and self._idle[0].idle_since < oldest:
            self._idle.popleft().connection.close()
