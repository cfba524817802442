"""Upstream connections of a guard: HTTP exchanges with the server on this VM.

Each exchange is a task of its own. A response is accepted only if it is complete, matches its
request and carries the server's signature; any other outcome is a refusal or a failure. The
connection of an incomplete exchange is closed.
"""

from collections.abc import Callable

import gevent

from pollenroad.boundary import ServerAnswered, ServerFailed, ServerShed
from pollenroad.exceptions import ExchangeError, NoSpaceError
from pollenroad.headers import end_to_end
from pollenroad.logs import log
from pollenroad.messages import Attempt, Response
from pollenroad.proxy.advertised import UNLIMITED, parse_limit
from pollenroad.proxy.boundary import Event, ServerAdvertised, ServerSeen, ServerSilent
from pollenroad.proxy.connection_pool import (
    CONNECT_TIMEOUT_S,
    IDLE_REUSE_S,
    ConnectionPool,
    PooledConnection,
)
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.http1 import ClientConnection
from pollenroad.proxy.memory.account import Purpose, message_bytes
from pollenroad.proxy.memory.space import Grant, Space
from pollenroad.proxy.reply_parser import Reply
from pollenroad.proxy.workspaces.keys import without_workspace_fields

IDLE_REUSE_NON_IDEMPOTENT_S = 0.3
"""Idle time after which a connection is not reused for a request that is not idempotent, in
seconds. If the server drops an idle connection while such a request is in transit, it stays unknown
whether the request ran."""

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which a caller concludes that the request has not run. Without proof of it they are
failures, and not forwarded."""

MAX_DIGITS = 9
"""Longest whole number in a field of a server."""

MAX_LOAD_PARTS = 16
"""Most commas at which a load header is split."""

LEAVING_VALUE = "1"
"""Value of the field with which a server states that it leaves."""

MISDIRECTED = 421
"""Status of a server that is not the expected incarnation; the request has not run."""


class Upstream:
    """Exchanges with one server.

    Args:
        server: Address of the server.
        dialect: Names of the header fields.
        post: Passes an event to the cores.
        memory: Space for what is held.
    """

    def __init__(
        self,
        server: str,
        dialect: Dialect,
        post: Callable[[Event], None],
        memory: Space | None = None,
    ):
        self._memory = memory or Space()
        self.server = server
        self.has_workspaces = False
        """Whether the configuration has workspaces, so that the fields for them are removed."""
        self._dialect = dialect
        self._post = post
        self._pool = ConnectionPool(server)
        self._health_connection: ClientConnection | None = None
        self._last_restrictions: frozenset[str] = frozenset()
        """Restrictions that the last health response stated."""
        self._task_by_attempt: dict[str, gevent.Greenlet] = {}
        self._advertised = False
        """Whether the last answer stated a limit, or that the server leaves."""

    # --- What the daemon calls ---

    def run(self, attempt: Attempt, timeout_s: float) -> None:
        """Start the exchange of one attempt; its outcome is posted as an event."""
        task = gevent.spawn(self._run, attempt, timeout_s)
        self._task_by_attempt[attempt.attempt_id] = task

    def cancel(self, attempt_id: str) -> None:
        """Abort an exchange and close its connection, which the server sees as a cancellation."""
        task = self._task_by_attempt.pop(attempt_id, None)
        if task is not None:
            gevent.spawn(self._stop, task, attempt_id)

    def check(self, path: str, timeout_s: float) -> None:
        """Start a health check; its outcome is posted as an event."""
        gevent.spawn(self._check, path, timeout_s)

    def set_server(self, server: str) -> None:
        """Switch to a server at another address."""
        self.server = server
        self._close_health_connection()
        self._pool.clear()
        self._pool = ConnectionPool(server)

    # --- Exchanges ---

    def _stop(self, task: gevent.Greenlet, attempt_id: str) -> None:
        was_started = bool(task)
        task.kill(block=False)
        if not was_started:
            self._post(ServerFailed(attempt_id, reached=False, reason="cancelled"))

    def _run(self, attempt: Attempt, timeout_s: float) -> None:
        event = ServerFailed(attempt.attempt_id, reached=True, reason="cancelled")
        try:
            longest_idle_s = IDLE_REUSE_S if attempt.idempotent else IDLE_REUSE_NON_IDEMPOTENT_S
            pooled = self._pool.acquire(attempt.request_id, longest_idle_s)
            with gevent.Timeout(timeout_s):
                event = self._outcome(pooled, attempt, timeout_s)
        except gevent.Timeout:
            event = ServerFailed(attempt.attempt_id, reached=True, reason="deadline")
        except ExchangeError as error:
            event = ServerFailed(attempt.attempt_id, error.reached, str(error))
        except Exception as error:
            log("internal_error", where="upstream", reason=repr(error))
            event = ServerFailed(attempt.attempt_id, reached=True, reason="internal-error")
        finally:
            self._task_by_attempt.pop(attempt.attempt_id, None)
            self._post(event)

    def _outcome(self, pooled: PooledConnection, attempt: Attempt, timeout_s: float) -> Event:
        reply = self._exchange(pooled, attempt, timeout_s)
        self._post_advertised(reply, attempt.incarnation, is_health=False)
        self._post_load(reply)
        event = self._classify(attempt, reply)
        if isinstance(event, ServerAnswered):
            if reply.grant is not None:
                self._memory.hold_body(event.response, reply.grant)
            else:
                count = message_bytes(event.response)
                self._memory.hold_as(event.response, Purpose.GUARD_RESPONSES, count)
        return event

    def _reserve(self, count: int, timeout_s: float) -> Grant:
        """Wait for the space of a response; the server waits meanwhile, since it is not read."""
        try:
            return self._memory.acquire(Purpose.GUARD_RESPONSES, count, timeout_s)
        except NoSpaceError as error:
            raise ExchangeError(f"no memory for the answer: {error}", reached=True) from error

    def _exchange(self, pooled: PooledConnection, attempt: Attempt, timeout_s: float) -> Reply:
        """Make one exchange; the connection is closed unless another request may follow on it.

        None follows an answer without an id, since a late second copy of that answer could not be
        told from the answer to the next request.
        """
        request, pool, reply = attempt.request, self._pool, None
        try:
            reply = pooled.connection.exchange(
                request.method,
                request.path,
                self._request_headers(attempt, timeout_s),
                request.body,
                lambda reply: self._is_stale(reply, attempt),
                lambda count: self._reserve(count, timeout_s),
            )
        finally:
            has_id = reply is not None and bool(reply.header(self._dialect.request_id))
            pool.release(pooled, has_id and reply.can_reuse)
        return reply

    def _request_headers(self, attempt: Attempt, left_s: float) -> list[tuple[str, str]]:
        dialect = self._dialect
        reserved = dialect.reserved_fields
        fields = [pair for pair in attempt.request.headers if pair[0].lower() not in reserved]
        if attempt.workspace or self.has_workspaces:
            fields = without_workspace_fields(fields, dialect)
        if attempt.workspace:
            fields.append((dialect.workspace, attempt.workspace.encode().decode("latin-1")))
        fields.append((dialect.deadline_ms, str(max(1, int(left_s * 1000)))))
        if attempt.incarnation:
            fields.append((dialect.expected_incarnation, attempt.incarnation))
        if attempt.caller:
            fields.append((dialect.caller, attempt.caller))
        return fields

    # --- Responses ---

    def _is_stale(self, reply: Reply, attempt: Attempt) -> bool:
        stated = reply.header(self._dialect.request_id)
        return bool(stated) and stated != attempt.request_id

    def _classify(self, attempt: Attempt, reply: Reply) -> Event:
        """Return the event for a response; see `pollenroad.verdicts` for what it proves."""
        dialect, attempt_id = self._dialect, attempt.attempt_id
        if reply.header(dialect.not_run) or reply.status == MISDIRECTED:
            return ServerShed(attempt_id)
        if reply.status in REFUSAL_STATUSES:
            reason = f"{reply.status} without proof that the request did not run"
            return ServerFailed(attempt_id, reached=True, reason=reason)
        if not reply.header(dialect.signature):
            return ServerFailed(attempt_id, reached=True, reason="answer without a signature")
        if reply.header(dialect.request_id) != attempt.request_id:
            return ServerFailed(attempt_id, reached=True, reason="answer without its request's id")
        if reply.header("content-encoding"):
            return ServerFailed(attempt_id, reached=True, reason="answer with an encoding")
        not_forwarded = {dialect.load.lower(), dialect.cold_ms.lower(), "content-length"}
        fields = (pair for pair in end_to_end(reply.headers) if pair[0] not in not_forwarded)
        return ServerAnswered(attempt_id, Response(reply.status, tuple(fields), reply.body))

    # --- Health ---

    def _check(self, path: str, timeout_s: float) -> None:
        event = ServerSilent("no answer")
        try:
            with gevent.Timeout(timeout_s):
                reply = self._exchange_health(path)
            self._last_restrictions = self._restrictions(reply)
            self._post_advertised(reply, reply.header(self._dialect.incarnation), is_health=True)
            event = self._server_seen(reply, is_health=True)
        except gevent.Timeout:
            event = ServerSilent("no answer in time")
        except ExchangeError as error:
            event = ServerSilent(str(error))
        except Exception as error:
            log("internal_error", where="health check", reason=repr(error))
        finally:
            self._post(event)

    def _exchange_health(self, path: str) -> Reply:
        """Ask for the server's health, on a connection of its own.

        A server that is full may leave a connection without any further answer. Health responses
        carry no id of a request, so that one cannot be told from a late copy of an earlier one;
        that a restriction has ended is therefore confirmed on a new connection.
        """
        kept, self._health_connection = self._health_connection, None
        if kept is not None and kept.is_reusable():
            reply = self._ask_health(kept, path)
            if self._last_restrictions <= self._restrictions(reply):
                return reply
            self._close_health_connection()
        elif kept is not None:
            kept.close()
        return self._ask_health(ClientConnection(self.server, CONNECT_TIMEOUT_S), path)

    def _ask_health(self, connection: ClientConnection, path: str) -> Reply:
        reply = None
        try:
            reply = connection.exchange("GET", path, [("Host", self.server)])
        finally:
            if reply is not None and reply.can_reuse and self._health_connection is None:
                self._health_connection = connection
            else:
                connection.close()
        return reply

    def _restrictions(self, reply: Reply) -> frozenset[str]:
        """Return which fields of a response restrict the requests that the server takes."""
        dialect = self._dialect
        is_cold = bool(parse_whole(reply.header(dialect.cold_ms)))
        stated = {name for name in (dialect.limit, dialect.leaving) if reply.header(name)}
        return frozenset(stated | ({dialect.cold_ms} if is_cold else set()))

    def _close_health_connection(self) -> None:
        if self._health_connection is not None:
            self._health_connection.close()
            self._health_connection = None

    def _post_load(self, reply: Reply) -> None:
        if reply.header(self._dialect.load):
            self._post(self._server_seen(reply, is_health=False))

    def _post_advertised(self, reply: Reply, incarnation: str, is_health: bool) -> None:
        """Post what the server states about itself, or that it no longer does."""
        limit = parse_limit(reply.header(self._dialect.limit))
        is_leaving = reply.header(self._dialect.leaving) == LEAVING_VALUE
        advertises = is_leaving or limit != UNLIMITED
        if advertises or self._advertised:
            self._advertised = advertises
            self._post(ServerAdvertised(incarnation, limit, is_leaving, is_health))

    def _server_seen(self, reply: Reply, is_health: bool) -> ServerSeen:
        running, waiting, slowdown = parse_load(reply.header(self._dialect.load))
        cold_ms = parse_whole(reply.header(self._dialect.cold_ms))
        cold_s = None if cold_ms is None else cold_ms / 1000
        return ServerSeen(running, waiting, slowdown, cold_s, is_health)


def parse_whole(text: str) -> int | None:
    """Return the whole number in a field, or None if it is none or has over `MAX_DIGITS` digits."""
    stripped = text.strip()
    is_whole = stripped.isascii() and stripped.isdigit() and len(stripped) <= MAX_DIGITS
    return int(stripped) if is_whole else None


def parse_load(text: str) -> tuple[int, int, float]:
    """Parse a load header: running, waiting, slots and, if stated, slowdown in percent.

    Returns:
        Requests running, requests waiting, and the slowdown as a multiple of the usual time. A
        header that is missing or malformed gives 0, 0 and 1.0.
    """
    parts = [parse_whole(part) for part in text.split(",", MAX_LOAD_PARTS)]
    if len(parts) < 3 or None in parts:
        return 0, 0, 1.0
    slowdown = parts[3] / 100 if len(parts) > 3 else 1.0
    return parts[0], parts[1], max(0.01, slowdown)
