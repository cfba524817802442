"""The exchange with the server beside a guard: HTTP over loopback by urllib3."""

from collections.abc import Callable

import gevent
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    TimeoutError,
)

from pollenroad import headers
from pollenroad.addresses import split_address
from pollenroad.boundary import Event, ServerAnswered, ServerFailed, ServerShed
from pollenroad.logs import log
from pollenroad.messages import Attempt, Response

CONNECT_TIMEOUT_S = 0.25
BODILESS_STATUSES = frozenset({204, 304})


class _UnframedError(HTTPError):
    """The answer's end cannot be told from a broken connection."""


def _request_headers(attempt: Attempt, timeout_s: float) -> dict[str, str]:
    fields = urllib3.HTTPHeaderDict(attempt.request.headers)
    fields[headers.REQUEST_ID] = attempt.request_id
    fields[headers.ATTEMPT_ID] = attempt.attempt_id
    fields[headers.CUSTOMER] = attempt.customer
    fields[headers.REQUEST_CLASS] = attempt.request_class
    fields[headers.DEADLINE_MS] = f"{timeout_s * 1000:.0f}"
    fields[headers.DEPTH] = str(attempt.depth + 1)
    fields[headers.RETRY_BUDGET] = f"{attempt.retry_budget:g}"
    return fields


def _check_framing(method: str, answer: urllib3.HTTPResponse) -> None:
    if method == "HEAD" or answer.status in BODILESS_STATUSES:
        return
    if "content-length" in answer.headers or answer.chunked:
        return
    raise _UnframedError("answer has neither Content-Length nor chunked coding")


class Upstream:
    """Connections to one server, at most `connections` of them, one task for each exchange.

    Args:
        server: Address of the server.
        post: Takes events for the guard.
    """

    def __init__(self, server: str, post: Callable[[Event], None]):
        self._post = post
        host, port = split_address(server)
        self._pool = urllib3.HTTPConnectionPool(host, port, maxsize=256, block=True)
        self._task_by_attempt: dict[str, gevent.Greenlet] = {}

    def run(self, attempt: Attempt, timeout_s: float) -> None:
        """Start the exchange of one attempt; its end is posted as an event."""
        task = gevent.spawn(self._exchange, attempt, timeout_s)
        self._task_by_attempt[attempt.attempt_id] = task

    def cancel(self, attempt_id: str) -> None:
        """Stop an exchange and close its connection, which the server sees as a cancellation."""
        task = self._task_by_attempt.pop(attempt_id, None)
        if task is not None:
            task.kill(block=False)

    def _exchange(self, attempt: Attempt, timeout_s: float) -> None:
        event = ServerFailed(attempt.attempt_id, reached=True, reason="cancelled")
        try:
            event = self._outcome(attempt, timeout_s)
        except Exception as error:
            log("internal_error", where="upstream", reason=repr(error))
            event = ServerFailed(attempt.attempt_id, reached=True, reason="server-error")
        finally:
            self._task_by_attempt.pop(attempt.attempt_id, None)
            self._post(event)

    def _outcome(self, attempt: Attempt, timeout_s: float) -> Event:
        attempt_id = attempt.attempt_id
        try:
            answer = self._request(attempt, timeout_s)
        except (NewConnectionError, ConnectTimeoutError):
            return ServerFailed(attempt_id, reached=False, reason="server-unreachable")
        except TimeoutError:
            return ServerFailed(attempt_id, reached=True, reason="deadline")
        except (HTTPError, OSError) as error:
            return ServerFailed(attempt_id, reached=True, reason=f"server-{type(error).__name__}")
        if headers.NOT_RUN in answer.headers:
            draining = answer.headers[headers.NOT_RUN] == "draining"
            return ServerShed(attempt_id, draining)
        fields = tuple(headers.end_to_end(answer.headers.items()))
        return ServerAnswered(attempt_id, Response(answer.status, fields, answer.data))

    def _request(self, attempt: Attempt, timeout_s: float) -> urllib3.HTTPResponse:
        request = attempt.request
        answer = self._pool.urlopen(
            request.method,
            request.path,
            body=request.body or None,
            headers=_request_headers(attempt, timeout_s),
            timeout=urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s),
            retries=False,
            redirect=False,
            decode_content=False,
            preload_content=True,
        )
        _check_framing(request.method, answer)
        return answer
