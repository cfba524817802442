"""Concurrent requests to the operator ports of many daemons."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from gevent.pool import Pool
from urllib3.exceptions import HTTPError

from pollenroad import strict_http

MAX_OPEN_REQUESTS = 64
"""Most daemons queried at the same time."""

REQUEST_TIMEOUT_S = 3.0
"""Timeout of the request to one daemon, in seconds."""


@dataclass(frozen=True, slots=True)
class DaemonResponse:
    """The response of one daemon."""

    operator: str
    """Operator address of the daemon."""
    data: dict | None
    """Decoded JSON body; None if there is no valid response."""
    failure: str = ""
    """Reason why `data` is None."""


def _read_one(operator: str, path: str) -> DaemonResponse:
    try:
        answer = strict_http.get(f"http://{operator}{path}", REQUEST_TIMEOUT_S)
        if answer.status != 200:
            return DaemonResponse(operator, None, f"status {answer.status}")
        return DaemonResponse(operator, msgspec.json.decode(answer.data))
    except (HTTPError, msgspec.DecodeError) as error:
        return DaemonResponse(operator, None, f"no answer ({type(error).__name__})")


def read_all(operators: Iterable[str], path: str) -> list[DaemonResponse]:
    """Request `path` from every daemon; return the responses in the order of `operators`."""
    return Pool(MAX_OPEN_REQUESTS).map(lambda operator: _read_one(operator, path), operators)
