"""The tasks that read the platform: everything once, then changes while watching is on.

A long poll that gets no answer may wait for a change, or on a connection that is dead. While one is
open, a second task asks the platform for a cheap sign of life, and has the long poll sent again if
there is none, or if the platform has had changes for which the long poll did not answer.
"""

import random
import time
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event as Flag

from pollenroad.exceptions import (
    ExchangeError,
    HistoryLost,
    PlatformError,
    UnreadableAnswer,
)
from pollenroad.logs import log
from pollenroad.proxy.boundary import (
    DirectoryChanged,
    DirectoryEvent,
    DirectoryLost,
    DirectoryRead,
    Position,
)
from pollenroad.proxy.directory import Directory
from pollenroad.shell.tasks import spawn_supervised

WATCH_TIMEOUT_S = 10.0
"""Time for which one long poll waits for changes, in seconds. Long, since each request is charged;
the kernel's keepalive probes detect a dead connection sooner than this."""

BATCH_SHARE = 0.22
"""Pause between a change and the next long poll, so that a burst of changes costs one request, as a
share of the time in which a change must be in force. In a large fleet there is always a burst. The
rest of that time lets another daemon detect the loss of a watcher and take over."""

PROBE_INTERVAL_S = 1.2
"""Time without an answer of the platform after which it is probed, in seconds. With the timeout of
a probe and the pause before a retry, a platform that was silent is read again within 3 s of its
return, from when on the users count all daemons as being in touch."""

DEAF_AFTER_S = 1.0
"""Time after which a long poll must have answered with the changes that a probe has seen, in
seconds: the pause after the last change, and some delay."""

CONFIRM_WAIT_S = 0.05
"""Wait of the first long poll after a loss, in seconds: short, to confirm the contents soon."""

RETRY_MIN_S = 0.25
"""First pause after a failed request, in seconds; it doubles with each further failure."""

RETRY_MAX_S = 1.0
"""Longest pause after a failed request, in seconds."""


class Source(Protocol):
    """A platform to read."""

    on_progress: Callable[[], None]
    """Called when a part of an answer has arrived, but that of a probe."""

    def read(self) -> DirectoryRead:
        """Read the complete contents.

        Raises:
            PlatformError: If the platform does not answer.
            ExchangeError: If the connection fails.
        """

    def changes(self, after: int, wait_s: float) -> DirectoryChanged:
        """Wait for changes after a revision.

        Raises:
            HistoryLost: If the platform no longer has the changes after that revision.
            UnreadableAnswer: If they cannot be read; others may be among them.
            PlatformError: If the platform does not answer.
            ExchangeError: If the connection fails.
        """

    def probe(self) -> Position:
        """Return a recent position of the platform, by a read that may be stale but costs little.

        Raises:
            PlatformError: If the platform does not answer.
            ExchangeError: If the connection fails.
        """

    def close(self) -> None:
        """Close all connections, which aborts a waiting long poll."""


class DirectoryReader:
    """Reads a source: once at the start, then changes while watching is on.

    Args:
        source: The platform to read.
        directory: The copy to be updated; changes after its revision are requested.
        post: Passes an event to the cores.
        change_bound_s: Time in which a change must be in force, in seconds.
    """

    def __init__(
        self,
        source: Source,
        directory: Directory,
        post: Callable[[DirectoryEvent], None],
        change_bound_s: float,
    ):
        self.batch_delay_s = BATCH_SHARE * change_bound_s
        self._source = source
        source.on_progress = self._progressed
        self._directory = directory
        self._post = post
        self._wanted = Flag()
        self._task: gevent.Greenlet | None = None
        self._answered_at = float("-inf")
        self._has_read = False
        self._is_lost = False
        """Whether the last request failed, so that the platform is probed before the next one."""

    def start(self) -> None:
        """Start the tasks, which read everything and then wait until watching is on."""
        self._restart()
        spawn_supervised("platform probe", self._probe_loop)

    def watch(self, is_wanted: bool) -> None:
        """Start or stop watching. Stopping aborts a request in flight."""
        if is_wanted:
            self._wanted.set()
            return
        self._wanted.clear()
        self._restart()

    def _restart(self) -> None:
        """Abort a request in flight, and start the reading task anew."""
        if self._task is gevent.getcurrent():
            return  # Called by that task, which has no request in flight.
        if self._task is not None:
            self._task.kill(block=False)
        self._source.close()
        self._task = spawn_supervised("platform reader", self._run)

    def _run(self) -> None:
        if not self._has_read:
            self._retry(self._read)
        while True:
            self._wanted.wait()
            try:
                self._retry(self._watch_once, (HistoryLost, UnreadableAnswer))
            except HistoryLost as error:
                self._post(DirectoryLost(str(error)))
                self._retry(self._read)
            except UnreadableAnswer as error:
                # The next answer would hold the same changes and more; the contents have pages.
                log("changes_unreadable", revision=self._directory.revision, reason=str(error))
                self._retry(self._read)
                gevent.sleep(self.batch_delay_s)

    def _watch_once(self) -> None:
        wait_s = WATCH_TIMEOUT_S
        if self._is_lost:
            self._check_epoch(self._source.probe().epoch)
            wait_s = CONFIRM_WAIT_S
        changes = self._source.changes(self._directory.revision, wait_s)
        self._check_epoch(changes.epoch)
        self._refuse_earlier_epoch(changes.epoch)
        self._answered()
        self._post(changes)
        if changes.items:
            gevent.sleep(self.batch_delay_s)

    def _check_epoch(self, epoch: int) -> None:
        """Check that the platform has not come back from a copy.

        The revision to watch from may have been given out again, for another change.

        Raises:
            HistoryLost: If it has.
        """
        known = self._directory.position.epoch
        if epoch > known:
            raise HistoryLost(f"epoch {epoch} of the platform after {known}")

    def _refuse_earlier_epoch(self, epoch: int) -> None:
        known = self._directory.position.epoch
        if epoch < known:
            raise PlatformError(f"an answer of epoch {epoch} of the platform after {known}")

    def _read(self) -> None:
        contents = self._source.read()
        self._refuse_earlier_epoch(contents.epoch)
        self._answered()
        self._has_read = True
        self._post(contents)

    def _progressed(self) -> None:
        """Note a part of an answer, which may take longer than a probe of the platform."""
        self._answered_at = time.monotonic()

    def _answered(self) -> None:
        self._answered_at = time.monotonic()
        self._is_lost = False

    # --- Probes beside a long poll ---

    def _probe_loop(self) -> None:
        while True:
            self._wanted.wait()
            # The jitter keeps the watchers of a fleet from probing at the same moment.
            interval_s = PROBE_INTERVAL_S * random.uniform(0.8, 1.0)
            due_in_s = self._answered_at + interval_s - time.monotonic()
            if self._is_lost or due_in_s > 0:
                gevent.sleep(interval_s if self._is_lost else due_in_s)
                continue
            self._probe()

    def _probe(self) -> None:
        try:
            position = self._source.probe()
        except UnreadableAnswer:
            self._answered_at = time.monotonic()  # A sign of life.
            return
        except (PlatformError, ExchangeError) as error:
            if self._wanted.is_set() and not self._is_lost:
                self._report_failure(error)
                self._restart()
            return
        self._answered_at = probed_at = time.monotonic()
        if position > self._directory.position:
            if position.epoch == self._directory.position.epoch:
                gevent.sleep(DEAF_AFTER_S)  # The long poll may be about to answer.
            is_deaf = position > self._directory.position and self._answered_at == probed_at
            if is_deaf and self._wanted.is_set():
                self._report_failure(PlatformError("a long poll misses changes"))
                self._restart()

    def _retry(
        self, step: Callable[[], None], final: tuple[type[PlatformError], ...] = (HistoryLost,)
    ) -> None:
        """Repeat a step until it succeeds, or raises one of the `final` errors."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                step()
                return
            except final:
                raise
            except (PlatformError, ExchangeError) as error:
                self._report_failure(error)
            except Exception as error:
                # A watcher that cannot read must not count as one that does.
                log("internal_error", where="platform reader", reason=repr(error))
                self._report_failure(error)
            gevent.sleep(pause_s * random.uniform(0.7, 1.3))
            pause_s = min(RETRY_MAX_S, 2 * pause_s)

    def _report_failure(self, error: Exception) -> None:
        self._source.close()
        self._is_lost = True
        self._post(DirectoryLost(f"{type(error).__name__}: {error}"))
