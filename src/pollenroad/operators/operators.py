"""Reading many daemons' operator ports at once."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import urllib3
from gevent.pool import Pool
from urllib3.exceptions import HTTPError

OPEN_REQUESTS = 64
"""Daemons asked at one time."""

TIMEOUT_S = 3.0
"""Longest wait for one daemon, in seconds."""


@dataclass(frozen=True, slots=True)
class Reading:
    """What one daemon answered."""

    operator: str
    """Its operator address."""
    data: dict | None
    failure: str = ""
    """Why there is no answer."""


def _read(operator: str, path: str) -> Reading:
    try:
        answer = urllib3.request(
            "GET", f"http://{operator}{path}", timeout=TIMEOUT_S, retries=False
        )
        if answer.status != 200:
            return Reading(operator, None, f"status {answer.status}")
        return Reading(operator, msgspec.json.decode(answer.data))
    except (HTTPError, msgspec.DecodeError) as error:
        return Reading(operator, None, f"no answer ({type(error).__name__})")


def read_all(operators: Iterable[str], path: str) -> list[Reading]:
    """Read `path` of every daemon, in the order of `operators`."""
    return Pool(OPEN_REQUESTS).map(lambda operator: _read(operator, path), operators)
