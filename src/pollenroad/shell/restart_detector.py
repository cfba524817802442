"""Detects a restart of the server while no request is in flight, by an idle connection to it.

When the server closes the connection, a new one is opened immediately. A server that has ended
refuses it; a server that only closes idle connections accepts it. Just after a pause of this
process a closed connection always counts as a restart, since the server may be up again.
"""

import time
from collections.abc import Callable

import gevent

from pollenroad.addresses import split_address
from pollenroad.boundary import Event, ServerLost

CONNECT_TIMEOUT_S = 0.25
"""Timeout for opening a connection to the server, in seconds."""

RETRY_S = 0.1
"""Pause before connecting again to a server that is down, in seconds."""

PAUSE_CHECK_S = 0.1
"""Time between two checks for a pause of this process, in seconds."""

MIN_PAUSE_S = 0.3
"""Delay of a check above which this process counts as paused, in seconds; also the time after a
pause in which a closed connection counts as a restart."""


class RestartDetector:
    """Detects restarts of one server.

    Args:
        server: Address of the server.
        post: Passes an event to the cores.
    """

    def __init__(self, server: str, post: Callable[[Event], None]):
        self._address = split_address(server)
        self._post = post
        self._checked_at = time.monotonic()
        self._paused_at = float("-inf")
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the tasks of the detector."""
        self._tasks = [gevent.spawn(self._check_for_pauses), gevent.spawn(self._watch)]

    def stop(self) -> None:
        """Stop the tasks and close the connection."""
        gevent.killall(self._tasks)

    def _check_for_pauses(self) -> None:
        while True:
            self._observe_pause()
            gevent.sleep(PAUSE_CHECK_S)

    def _observe_pause(self) -> None:
        now = time.monotonic()
        if now - self._checked_at > PAUSE_CHECK_S + MIN_PAUSE_S:
            self._paused_at = now
        self._checked_at = now

    def _was_recently_paused(self) -> bool:
        """Return whether this process was just paused: a restart may have gone undetected."""
        self._observe_pause()
        return time.monotonic() - self._paused_at < MIN_PAUSE_S

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
            if self._was_recently_paused():
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
