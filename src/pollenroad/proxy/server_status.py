"""What a guard knows of the server on its VM from its health checks and answers."""

from collections.abc import Iterator

from pollenroad.boundary import Action, Record
from pollenroad.guard import availability
from pollenroad.messages import Attempt
from pollenroad.proxy import endpoint_states
from pollenroad.proxy.advertised import Advertised
from pollenroad.proxy.boundary import CheckServer, ServerAdvertised, ServerSeen
from pollenroad.proxy.health import CHECK_TIMEOUT_S, MAX_FAILED_CHECKS, ServerHealth
from pollenroad.proxy.local_server import LocalServer
from pollenroad.proxy.records import server_leaving, server_limit


class ServerStatus:
    """Health, speed and statements of one server, and the checks that ask for them."""

    def __init__(self, local: LocalServer, now: float):
        self._local = local
        self.health = ServerHealth(now)
        self.advertised = Advertised()

    def state(self, closed_reason: str, now: float) -> str:
        """Return the state of the endpoint for load reports; see `on_advertised` for the reason."""
        endpoint = self._local.endpoint
        match closed_reason:
            case "" if not self.advertised.is_known:
                return endpoint_states.STARTING
            case "":
                return self.health.state(now)
            case availability.LEAVING:
                is_server = self.advertised.is_leaving or (endpoint and endpoint.is_leaving)
                return endpoint_states.LEAVING if is_server else endpoint_states.DRAINING
        return endpoint_states.OUT

    def on_seen(self, seen: ServerSeen, now: float) -> Iterator[Action]:
        """Record the status that the server reported."""
        self.advertised.answered()
        if self.health.observe(seen, now):
            yield Record("server_cold", (("cold_s", seen.cold_s), ("source", "server")))

    def on_silent(self, reason: str) -> Iterator[Action]:
        """Record a health check without an answer."""
        if self.health.check_failed():
            yield Record("server_silent", (("reason", reason), ("checks", MAX_FAILED_CHECKS)))

    def on_advertised(self, event: ServerAdvertised, closed_reason: str) -> Iterator[Action]:
        """Record what the server stated about itself.

        Args:
            event: The statement.
            closed_reason: Why the guard takes no new work; empty if it does.
        """
        if event.incarnation not in ("", self._local.incarnation):
            return
        advertised, source = self.advertised, "health" if event.is_health else "answer"
        before, was_leaving = (advertised.limit_per_s, advertised.unreadable), advertised.is_leaving
        advertised.observe(event.limit, event.is_leaving)
        if (advertised.limit_per_s, advertised.unreadable) != before:
            yield server_limit(advertised, before[0], source)
        if advertised.is_leaving != was_leaving:
            yield server_leaving(advertised.is_leaving, closed_reason, source)

    def on_hint(self, attempt: Attempt) -> Iterator[Action]:
        """Apply the limit that an entry knows, until the server itself has answered this guard."""
        limit_per_s, before_per_s = attempt.known_limit_per_s, self.advertised.limit_per_s
        if limit_per_s is None or self.advertised.is_known or self._local.is_other(attempt):
            return
        self.advertised.assume(limit_per_s)
        if self.advertised.limit_per_s != before_per_s:
            yield server_limit(self.advertised, before_per_s, "entry")

    def detect_restart(self, now: float) -> Iterator[Action]:
        """Forget the status of an earlier start of the server."""
        endpoint = self._local.new_start()
        if endpoint is None:
            return
        self.advertised.reset()
        if self.health.restarted(endpoint.cold_s, now):
            yield Record("server_cold", (("cold_s", endpoint.cold_s), ("source", "registration")))

    def check(self, has_waiting: bool, now: float) -> Iterator[Action]:
        """Send a health check if one is due.

        Args:
            has_waiting: Whether attempts wait for a start.
            now: Monotonic time in seconds.
        """
        rules = self._local.rules
        if rules is None or not self.health.is_check_due(now, has_waiting):
            return
        self.health.check_sent(now)
        yield CheckServer(rules.health_path, CHECK_TIMEOUT_S)
