"""When a guard tells entries its load outside of answers. No I/O."""

from collections import OrderedDict
from collections.abc import Iterable

from pollenroad.addresses import host_of
from pollenroad.guard.closing import LEAVING
from pollenroad.messages import LoadReport
from pollenroad.proxy.local import LocalServer
from pollenroad.proxy.starting import StartPolicy
from pollenroad.published import RegisteredEndpoint

CLOSED_STATE = {LEAVING: "draining"}
"""State of a report by the reason for which no new work is taken; `out` for others."""

SMALL_FLEET = 16
"""Entries up to which all are told, not only those that sent attempts."""

SUBSCRIBED_S = 10.0
"""Time since its last attempt for which an entry is told, in seconds."""

MAX_SUBSCRIBERS = 64
"""Entries that are told at most, the most recent ones."""

MIN_GAP_S = 0.03
"""Shortest time between two reports, in seconds."""

REPEAT_S = 0.5
"""Time after which the report of a server that is slow, cold or closed is repeated, in seconds:
a report may be lost on its way."""

SLOW_STEP = 1.6
"""Factor by which the slowdown must change to be news."""

LOAD_STEP = 0.5
"""Change of the load, as a share of the slots, that is news."""


class Telling:
    """Which entries are told, and what they were told last."""

    def __init__(self):
        self._last_attempt_by_host: OrderedDict[str, float] = OrderedDict()
        self._told: LoadReport | None = None
        self._told_at = float("-inf")
        self._sequence = 0

    def report(
        self,
        local: LocalServer,
        policy: StartPolicy,
        in_flight: int,
        queued: int,
        state: str,
        slowdown: float,
    ) -> LoadReport:
        """Return the next report of a server."""
        self._sequence += 1
        return LoadReport(
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
        """Note an attempt of the entry on a VM."""
        self._last_attempt_by_host[host] = now
        self._last_attempt_by_host.move_to_end(host)
        if len(self._last_attempt_by_host) > MAX_SUBSCRIBERS:
            self._last_attempt_by_host.popitem(last=False)

    def hosts(self, endpoints: Iterable[RegisteredEndpoint], now: float) -> tuple[str, ...]:
        """Return the hosts of the entries to tell, of those beside known endpoints."""
        known = {host_of(endpoint.guard) for endpoint in endpoints}
        if len(known) <= SMALL_FLEET:
            return tuple(sorted(known))
        since = now - SUBSCRIBED_S
        return tuple(host for host, at in self._last_attempt_by_host.items() if at >= since)

    def is_news(self, report: LoadReport, now: float) -> bool:
        """Tell whether a report is worth telling now; if so, it counts as told."""
        if not self._is_due(report, now):
            return False
        self._told, self._told_at = report, now
        return True

    def _is_due(self, report: LoadReport, now: float) -> bool:
        told = self._told
        if told is None:
            return True
        if now - self._told_at < MIN_GAP_S:
            return False
        if report.state != told.state:
            return True
        ratio = report.slowdown / told.slowdown
        if ratio >= SLOW_STEP or ratio <= 1 / SLOW_STEP:
            return True
        change = abs(report.in_flight + report.queued - told.in_flight - told.queued)
        if change >= LOAD_STEP * max(1, report.bound):
            return True
        is_plain = report.state == "serving" and report.slowdown < SLOW_STEP
        return not is_plain and now - self._told_at >= REPEAT_S
