"""Load reporting of a guard: when it sends reports apart from answers, and to which entries."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from pollenroad.addresses import host_of
from pollenroad.boundary import Action
from pollenroad.messages import LoadReport
from pollenroad.proxy.admission_policy import AdmissionPolicy
from pollenroad.proxy.boundary import TellLoad
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.endpoint_states import SERVING
from pollenroad.proxy.local_server import LocalServer
from pollenroad.proxy.records import guard_state
from pollenroad.published import RegisteredEndpoint

SMALL_FLEET = 16
"""Number of entries up to which all of them get reports, not only those that sent attempts."""

SUBSCRIBED_S = 2.0
"""Time since its last attempt for which an entry gets reports, in seconds. A report counts for
about a second, and in a large fleet an entry rarely returns to an endpoint within that time."""

MAX_SUBSCRIBERS = 24
"""Most entries that get reports because of their attempts; the most recent ones are kept."""

MIN_GAP_S = 0.03
"""Shortest time between two reports, in seconds."""

REPEAT_S = 0.5
"""Time after which the report of a server that is slow, cold, limited, rejecting or not available
is repeated, in seconds: datagrams may be lost."""

SLOWDOWN_STEP = 1.6
"""Factor by which the slowdown must change for a new report."""

REJECTION_STEP = 0.2
"""Change of the share that the server rejects although it has capacity, for a new report."""

LOAD_STEP = 0.5
"""Change of the load, as a share of the bound, for a new report."""


class LoadReporter:
    """The entries that get load reports, and the last report sent to them."""

    def __init__(self):
        self._last_attempt_by_host: OrderedDict[str, float] = OrderedDict()
        self._last_sent: LoadReport | None = None
        self._last_sent_at = float("-inf")
        self._sequence = 0
        self._last_state = ""

    def report(
        self,
        local: LocalServer,
        policy: AdmissionPolicy,
        in_flight: int,
        queued: int,
        state: str,
        slowdown: float,
        now: float,
    ) -> LoadReport:
        """Return a load report with the next sequence number."""
        self._sequence += 1
        rate = policy.request_rate
        return LoadReport(
            limit_per_s=rate.per_s,
            limit_wait_ms=rate.ahead_s(queued + 1, now) * 1000,
            service=local.service,
            endpoint=local.incarnation,
            in_flight=in_flight,
            queued=queued,
            bound=policy.bound(local.slots),
            state=state,
            sequence=self._sequence,
            slowdown=slowdown,
        )

    def attempted(self, host: str, now: float) -> None:
        """Record an attempt from the entry on a VM."""
        self._last_attempt_by_host[host] = now
        self._last_attempt_by_host.move_to_end(host)
        if len(self._last_attempt_by_host) > MAX_SUBSCRIBERS:
            self._last_attempt_by_host.popitem(last=False)

    def hosts(self, endpoints: Iterable[RegisteredEndpoint], now: float) -> tuple[str, ...]:
        """Return the hosts of the entries that get reports; `endpoints` are all known ones."""
        known = {host_of(endpoint.guard) for endpoint in endpoints}
        if len(known) <= SMALL_FLEET:
            return tuple(sorted(known))
        since = now - SUBSCRIBED_S
        return tuple(host for host, at in self._last_attempt_by_host.items() if at >= since)

    def tell(
        self, report: LoadReport, closed_reason: str, directory: Directory, now: float
    ) -> Iterator[Action]:
        """Record a change of the reported state, and send the report to entries if it is due."""
        if report.state != self._last_state:
            yield guard_state(report, self._last_state, closed_reason, directory.revision)
            self._last_state = report.state
        if self.should_send(report, now):
            hosts = self.hosts(directory.all_endpoints(), now)
            if hosts:
                yield TellLoad(hosts, report)

    def should_send(self, report: LoadReport, now: float) -> bool:
        """Return whether to send a report now; if so, record it as sent."""
        if not self._is_due(report, now):
            return False
        self._last_sent, self._last_sent_at = report, now
        return True

    def _is_due(self, report: LoadReport, now: float) -> bool:
        last_sent = self._last_sent
        if last_sent is None:
            return True
        if now - self._last_sent_at < MIN_GAP_S:
            return False
        if report.state != last_sent.state or report.limit_per_s != last_sent.limit_per_s:
            return True
        ratio = report.slowdown / last_sent.slowdown
        if ratio >= SLOWDOWN_STEP or ratio <= 1 / SLOWDOWN_STEP:
            return True
        if abs(report.rejection_share - last_sent.rejection_share) >= REJECTION_STEP:
            return True
        change = abs(report.in_flight + report.queued - last_sent.in_flight - last_sent.queued)
        if change >= LOAD_STEP * max(1, report.bound):
            return True
        is_normal = report.state == SERVING and report.slowdown < SLOWDOWN_STEP
        is_normal = is_normal and report.limit_per_s is None and not report.rejection_share
        return not is_normal and now - self._last_sent_at >= REPEAT_S
