"""Structured logs: one JSON object a line on standard output, numbered by the catalogue.

The volume is bounded and writing never blocks: lines beyond `BYTES_PER_S`, or that a full pipe does
not take, are dropped and counted. Lines of the level DEBUG, which tell of work that went well, go
first: they stop while less than half of the allowance is left.
"""

import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

from pollenroad.events import ENTRY_BY_NAME

LOGGER = logging.getLogger("pollenroad")

BYTES_PER_S = 65_536
"""Bytes of log lines a second, over the long run: about four times what a daemon writes at the
usual rate of 20 requests a second."""

BURST_BYTES = 262_144
"""Bytes of log lines that may be written at once."""

REPORT_S = 1.0
"""Shortest time between two lines that tell how many were dropped, in seconds."""


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking, within an allowance of bytes."""

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        self._allowance = float(BURST_BYTES)
        self._updated = time.monotonic()
        self._rest = b""
        self._dropped = 0
        self._reported = float("-inf")
        self.dropped_total = 0
        """Lines dropped since the start."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        self._refill()
        floor = BURST_BYTES / 2 if record.levelno <= logging.DEBUG else 0
        line = self.format(record).encode() + b"\n"
        if self._allowance - len(line) < floor or not self._write(line):
            self._dropped += 1
            self.dropped_total += 1
            return
        self._allowance -= len(line)
        self._report()

    def _refill(self) -> None:
        now = time.monotonic()
        gained = (now - self._updated) * BYTES_PER_S
        self._allowance = min(BURST_BYTES, self._allowance + gained)
        self._updated = now

    def _report(self) -> None:
        now = time.monotonic()
        if not self._dropped or now - self._reported < REPORT_S:
            return
        count, self._dropped, self._reported = self._dropped, 0, now
        log("log_dropped", lines=count)

    def _write(self, line: bytes) -> bool:
        """Write a line whole, or what the pipe takes of it now and the rest before the next."""
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._descriptor, self._rest) :]
            if self._rest:
                return False
            self._rest = line[os.write(self._descriptor, line) :]
        except OSError:
            # The reader is gone or slow. There is nowhere to tell it but the count of lines.
            return False
        return True


def configure_logs(level: str, vm: str) -> BoundedHandler:
    """Send the package's logs to standard output as JSON.

    Args:
        level: Name of a logging level.
        vm: Name of the VM, put into every line.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
            static_fields={"vm": vm},
        )
    )
    LOGGER.handlers[:] = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False
    return handler


def log(name: str, **fields: object) -> None:
    """Write the event `name` of the catalogue with its fields."""
    entry = ENTRY_BY_NAME[name]
    if LOGGER.isEnabledFor(entry.level):
        LOGGER.log(entry.level, name, extra={"number": entry.number, **fields})
