"""Structured logs: one JSON object per line on standard output, with the event's number.

The volume is limited and writing never blocks: lines are dropped and counted if they exceed the
rate `BYTES_PER_S` or if the pipe is full. DEBUG lines, which describe normal work, are dropped
first: they are not written while less than half of the allowance is left.
"""

import logging
import os
import sys
import time

import msgspec
from pythonjsonlogger.core import BaseJsonFormatter

from pollenroad.events import ENTRY_BY_NAME

LOGGER = logging.getLogger("pollenroad")

BYTES_PER_S = 65_536
"""Long-term rate limit of log lines, in bytes per second: about four times what a daemon writes at
the usual rate of 20 requests per second."""

BURST_BYTES = 262_144
"""Maximum size of a burst of log lines, in bytes."""

REPORT_INTERVAL_S = 1.0
"""Minimum time between two reports of the number of dropped lines, in seconds."""


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking, within a token bucket of bytes."""

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        self._allowance = float(BURST_BYTES)
        self._refilled_at = time.monotonic()
        self._unwritten = b""
        self._dropped = 0
        self._reported_at = float("-inf")
        self.dropped_total = 0
        """Number of lines dropped since the start."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop and count it."""
        self._refill()
        reserve = BURST_BYTES / 2 if record.levelno <= logging.DEBUG else 0
        line = self.format(record).encode() + b"\n"
        if self._allowance - len(line) < reserve or not self._write(line):
            self._dropped += 1
            self.dropped_total += 1
            return
        self._allowance -= len(line)
        self._report_dropped()

    def _refill(self) -> None:
        now = time.monotonic()
        gained = (now - self._refilled_at) * BYTES_PER_S
        self._allowance = min(BURST_BYTES, self._allowance + gained)
        self._refilled_at = now

    def _report_dropped(self) -> None:
        now = time.monotonic()
        if not self._dropped or now - self._reported_at < REPORT_INTERVAL_S:
            return
        count, self._dropped, self._reported_at = self._dropped, 0, now
        log("log_dropped", lines=count)

    def _write(self, line: bytes) -> bool:
        """Write a line and return whether it was accepted.

        If the pipe takes only part of it, the remainder is written before the next line.
        """
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
            if self._unwritten:
                return False
            self._unwritten = line[os.write(self._descriptor, line) :]
        except OSError:
            # The reader is gone or slow; the count of dropped lines is the only place to report it.
            return False
        return True


class LineFormatter(BaseJsonFormatter):
    """Formats a record of `log` as a JSON object.

    It reads the fields of the event alone. The formatter of the library inspects all attributes of
    a record, which takes five times as long, a tenth of the processor time of a request.
    """

    def __init__(self, vm: str):
        super().__init__()
        self._vm = vm
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._second = -1
        self._second_text = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record; one without event fields is formatted by the library."""
        fields = getattr(record, "event_fields", None)
        if fields is None:
            return super().format(record)
        line = {
            "time": self._time_text(record.created),
            "level": record.levelname,
            "event": record.msg,
            "vm": self._vm,
            **fields,
        }
        return self._encoder.encode(line).decode()

    def jsonify_log_record(self, log_data: dict) -> str:
        """Return the JSON object of a record that does not come from `log`."""
        return self._encoder.encode(log_data).decode()

    def _time_text(self, created: float) -> str:
        second = int(created)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(second))
        return f"{self._second_text},{int((created - second) * 1000):03d}"


def configure_logs(level: str, vm: str) -> BoundedHandler:
    """Configure the package's logger to write JSON to standard output.

    Args:
        level: Name of a logging level.
        vm: Name of the VM, included in every line.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(LineFormatter(vm))
    LOGGER.handlers[:] = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False
    return handler


def log(name: str, **fields: object) -> None:
    """Log the event `name` of the catalogue with its fields."""
    entry = ENTRY_BY_NAME[name]
    if LOGGER.isEnabledFor(entry.level):
        record = logging.LogRecord(LOGGER.name, entry.level, "", 0, name, None, None)
        record.event_fields = {"number": entry.number, **fields}
        record.__dict__.update(record.event_fields)
        LOGGER.handle(record)
