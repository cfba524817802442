"""Structured logs: one JSON object a line on standard error, numbered by the catalogue."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from pollenroad.events import ENTRY_BY_NAME

LOGGER = logging.getLogger("pollenroad")


def configure_logs(level: str, vm: str) -> None:
    """Send the package's logs to standard error as JSON.

    Args:
        level: Name of a logging level.
        vm: Name of the VM, put into every line.
    """
    handler = logging.StreamHandler(sys.stderr)
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


def log(name: str, **fields: object) -> None:
    """Write the event `name` of the catalogue with its fields."""
    entry = ENTRY_BY_NAME[name]
    if LOGGER.isEnabledFor(entry.level):
        LOGGER.log(entry.level, name, extra={"number": entry.number, **fields})
