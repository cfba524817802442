"""Tasks that must not end, or must not wait for ever."""

from collections.abc import Callable

import gevent

from pollenroad.logs import log

RESTART_DELAY_S = 0.1
"""Pause before a failed task is started again, in seconds."""

STEPS_PER_TURN = 32
"""Steps after which a task that need not wait lets other tasks run."""


def spawn_supervised(name: str, run: Callable[[], None]) -> gevent.Greenlet:
    """Start a task that runs until `run` returns or the task is killed.

    Args:
        name: Name of the task, for the log.
        run: The work. After an unexpected error it is called again.
    """

    def supervise() -> None:
        while True:
            try:
                run()
                return
            except Exception as error:
                log("internal_error", where=name, reason=repr(error))
            gevent.sleep(RESTART_DELAY_S)

    return gevent.spawn(supervise)


class SilenceTimeout:
    """Timeout of the work in a `with` statement that starts anew whenever there is progress.

    Args:
        first_s: Time until the first progress, in seconds.
        next_s: Time between two signs of progress, in seconds.

    Raises:
        gevent.Timeout: In the task that entered it.
    """

    def __init__(self, first_s: float, next_s: float):
        self._first_s = first_s
        self._next_s = next_s
        self._timeout: gevent.Timeout | None = None

    def __enter__(self):
        self._timeout = gevent.Timeout.start_new(self._first_s)
        return self

    def __exit__(self, *error):
        self._timeout.close()

    def restart(self) -> None:
        """Start the timeout anew; called by the task that entered it."""
        self._timeout.close()
        self._timeout = gevent.Timeout.start_new(self._next_s)


class TurnCounter:
    """Lets other tasks run once in `STEPS_PER_TURN` steps of a task that may never have to wait."""

    def __init__(self):
        self._steps = 0

    def step(self) -> None:
        """Count one step."""
        self._steps += 1
        if self._steps >= STEPS_PER_TURN:
            self._steps = 0
            gevent.sleep(0)
