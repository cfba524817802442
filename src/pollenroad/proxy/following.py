"""The task that reads the platform: everything once, then the changes while that is wanted."""

import random
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event as Flag

from pollenroad.exceptions import ExchangeError, HistoryLost, PlatformError
from pollenroad.proxy.boundary import DirectoryChanged, DirectoryEvent, DirectoryLost, DirectoryRead
from pollenroad.proxy.directory import Directory

WATCH_S = 10.0
"""Time for which one call waits for changes, in seconds. Each call is priced; a connection that has
gone silent is noticed by the kernel's probes sooner than this."""

GATHER_S = 0.4
"""Time between a change and the next call, in seconds, so that changes in quick succession cost one
call; a fifth of the time in which a change must be in force."""

RETRY_MIN_S = 0.25
"""First pause after a failed call, in seconds; it doubles with each."""

RETRY_MAX_S = 1.0
"""Longest such pause, in seconds."""


class Source(Protocol):
    """A platform that can be read."""

    def read(self) -> DirectoryRead:
        """Read everything.

        Raises:
            PlatformError: If the platform does not answer.
            ExchangeError: If the connection fails.
        """

    def changes(self, after: int, wait_s: float) -> DirectoryChanged:
        """Wait for changes after a revision.

        Raises:
            HistoryLost: If they can no longer be read.
            PlatformError: If the platform does not answer.
            ExchangeError: If the connection fails.
        """

    def close(self) -> None:
        """Close the connection, which ends a call that waits."""


class Follower:
    """Reads a source while the cores want it.

    Args:
        source: What is read.
        directory: What is known already.
        post: Takes events for the cores.
    """

    def __init__(
        self, source: Source, directory: Directory, post: Callable[[DirectoryEvent], None]
    ):
        self._source = source
        self._directory = directory
        self._post = post
        self._wanted = Flag()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Read everything, and wait for what is wanted then."""
        self._task = gevent.spawn(self._run)

    def watch(self, is_wanted: bool) -> None:
        """Watch from now on, or stop, also in the middle of a call."""
        if is_wanted:
            self._wanted.set()
            return
        self._wanted.clear()
        if self._task is not None and self._task is not gevent.getcurrent():
            self._task.kill(block=False)
        self._source.close()
        self._task = gevent.spawn(self._follow)

    def _run(self) -> None:
        self._try(self._read)
        self._follow()

    def _follow(self) -> None:
        while True:
            self._wanted.wait()
            try:
                self._try(self._watch_once)
            except HistoryLost as error:
                self._post(DirectoryLost(str(error)))
                self._try(self._read)

    def _watch_once(self) -> None:
        changes = self._source.changes(self._directory.revision, WATCH_S)
        self._post(changes)
        if changes.items:
            gevent.sleep(GATHER_S)

    def _read(self) -> None:
        self._post(self._source.read())

    def _try(self, step: Callable[[], None]) -> None:
        """Repeat a step until it succeeds.

        Raises:
            HistoryLost: If the platform says so.
        """
        pause_s = RETRY_MIN_S
        while True:
            try:
                step()
                return
            except HistoryLost:
                raise
            except (PlatformError, ExchangeError) as error:
                self._fail(error)
            gevent.sleep(pause_s * random.uniform(0.7, 1.3))
            pause_s = min(RETRY_MAX_S, 2 * pause_s)

    def _fail(self, error: Exception) -> None:
        self._source.close()
        self._post(DirectoryLost(f"{type(error).__name__}: {error}"))
