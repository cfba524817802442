"""An idle connection to the server, by which a restart is seen while no request is under way.

When the server closes the connection, a new one is opened at once. A server that ended refuses it;
one that only closes idle connections accepts it.
"""

import time
from collections.abc import Callable

import gevent

from pollenroad.addresses import split_address
from pollenroad.boundary import Event, ServerLost

CONNECT_TIMEOUT_S = 0.25
RETRY_S = 0.1
"""Time between two tries to reach a server that is down, in seconds."""

BEAT_S = 0.1
PAUSE_S = 0.3
"""Lateness of a beat from which this process counts as having been paused, in seconds."""


class Sentinel:
    """Watches one server; owns its connection and its tasks.

    Args:
        server: Address of the server.
        post: Takes events for the guard.
    """

    def __init__(self, server: str, post: Callable[[Event], None]):
        self._address = split_address(server)
        self._post = post
        self._beat_at = time.monotonic()
        self._paused_at = float("-inf")
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start to watch."""
        self._tasks = [gevent.spawn(self._beat), gevent.spawn(self._watch)]

    def stop(self) -> None:
        """Stop watching and close the connection."""
        gevent.killall(self._tasks)

    def _beat(self) -> None:
        while True:
            self._notice_pause()
            gevent.sleep(BEAT_S)

    def _notice_pause(self) -> None:
        now = time.monotonic()
        if now - self._beat_at > BEAT_S + PAUSE_S:
            self._paused_at = now
        self._beat_at = now

    def _was_paused(self) -> bool:
        """Tell whether the server may have ended and started again unseen."""
        self._notice_pause()
        return time.monotonic() - self._paused_at < PAUSE_S

    def _watch(self) -> None:
        is_lost = False
        while True:
            try:
                sock = gevent.socket.create_connection(self._address, CONNECT_TIMEOUT_S)
            except OSError:
                if not is_lost:
                    self._post(ServerLost())
                is_lost = True
                gevent.sleep(RETRY_S)
                continue
            is_lost = False
            self._wait_until_closed(sock)
            if self._was_paused():
                self._post(ServerLost())

    def _wait_until_closed(self, sock) -> None:
        try:
            sock.settimeout(None)
            while sock.recv(1024):
                pass
        except OSError:
            pass
        finally:
            sock.close()
