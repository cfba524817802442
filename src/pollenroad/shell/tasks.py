"""Tasks that must not end: an unexpected error is logged, and the task goes on."""

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
