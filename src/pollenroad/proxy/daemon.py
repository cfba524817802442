"""The daemon of one proxy: connects the cores to sockets and manages start, stop and reload."""

import os
import random
import time
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event as Flag

from pollenroad.addresses import host_of
from pollenroad.boundary import (
    AnswerCall,
    CancelAtServer,
    Record,
    RunAtServer,
    SendPeer,
    StopRequested,
    Tick,
)
from pollenroad.clocks import suspended_s
from pollenroad.exceptions import ConfigurationError
from pollenroad.logs import LOGGER, log
from pollenroad.proxy.boundary import (
    Action,
    CheckServer,
    DrainExpired,
    EntryLost,
    Event,
    RequestArrived,
    TellLoad,
    WatchDirectory,
)
from pollenroad.proxy.budgets import BudgetRules
from pollenroad.proxy.caller_connection import make_caller_server
from pollenroad.proxy.callers import Callers
from pollenroad.proxy.cold_rate import ColdBound
from pollenroad.proxy.cores import DaemonLocation, ProxyCores
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.directory_reader import DirectoryReader, Source
from pollenroad.proxy.drain import make_drain_plan
from pollenroad.proxy.http1 import Page, serve_pages
from pollenroad.proxy.load_datagrams import LoadDatagrams
from pollenroad.proxy.memory.account import AccountLimits
from pollenroad.proxy.memory.links import LinkSpace
from pollenroad.proxy.memory.process import MEGABYTE, memory_gauges, return_long_blocks
from pollenroad.proxy.memory.space import Space
from pollenroad.proxy.metrics import CONTENT_TYPE, ProxyMetrics
from pollenroad.proxy.quotas.allocation import QuotaRules
from pollenroad.proxy.settings import ProxySettings, load_proxy_settings, seconds
from pollenroad.proxy.upstream import Upstream
from pollenroad.shell.driver import Driver, perform_logged
from pollenroad.shell.peers import Identity, Peers
from pollenroad.shell.tasks import spawn_supervised
from pollenroad.verdicts import Verdict

POLL_S = 0.05
"""Time between two checks for requests in flight while the daemon stops, in seconds."""

SETTINGS_POLL_S = 1.0
"""Time between two checks of the settings file, in seconds: it may change without a signal."""


MIN_QUOTA_WINDOW_S = 0.1
"""Shortest window of quotas, in seconds; nothing can be handed out in a window of 0."""

RESTART_SETTINGS = (
    "vm",
    "failure_domain",
    "call_address",
    "peer_address",
    "readiness_address",
    "notice_port",
    "metrics_port",
    "directory",
    "change_bound",
    "held_memory_mb",
)
"""Settings that take effect when the daemon starts; all others when the file is reloaded."""


class ProxyDaemon:
    """One proxy: the cores and their sockets.

    Args:
        settings_path: Path of the settings file.
        dialect: Names of the header fields.
        readiness_path: Path of the readiness page.
        make_source: Makes the source from which the platform is read.
    """

    def __init__(
        self,
        settings_path: str,
        dialect: Dialect,
        readiness_path: str,
        make_source: Callable[[ProxySettings], Source],
    ):
        self._settings_stamp = _file_stamp(settings_path)  # Before reading: a change is not missed.
        self.settings = load_proxy_settings(settings_path)
        self.incarnation = os.urandom(4).hex()
        self.metrics = ProxyMetrics()
        self.stopping = False
        self._settings_path = settings_path
        self._ended = Flag()
        settings, rng = self.settings, random.Random(self.incarnation)
        location, rules = _location(settings), _budget_rules(settings)
        now, quota_rules = time.monotonic(), _quota_rules(settings)
        self.cores = ProxyCores(
            self.incarnation, location, rules, rng, now, dialect, quota_rules, suspended_s
        )
        self._driver = Driver(self._handle, self.cores.next_due)
        self.post = self._driver.post
        self._reader = DirectoryReader(
            make_source(settings), self.cores.directory, self.post, seconds(settings.change_bound)
        )
        self.memory = Space(AccountLimits(settings.held_memory_mb * MEGABYTE), self._record)
        self.callers = Callers(dialect, self.post, self.memory)
        self.upstream = Upstream(settings.server, dialect, self.post, self.memory)
        identity = Identity(
            settings.vm, settings.peer_address, self.incarnation, settings.failure_domain
        )
        lost = lambda peer: self.post(EntryLost(peer))  # noqa: E731
        links = LinkSpace(self.memory)
        self.peers = Peers(identity, self.post, lambda _: True, on_entry_lost=lost, memory=links)
        host = host_of(settings.peer_address)
        self.load_datagrams = LoadDatagrams(f"{host}:{settings.notice_port}", self.post)
        self._servers = [
            make_caller_server(settings.call_address, self.callers),
            serve_pages(settings.readiness_address, {readiness_path: self._readiness}),
            serve_pages(f"{host}:{settings.metrics_port}", {"/metrics": self._metrics_page}),
        ]

    @property
    def ready(self) -> bool:
        """Whether this daemon has a configuration and accepts work."""
        return self.cores.directory.configuration is not None and not self.stopping

    # --- Events and actions ---

    def _handle(self, event: Event) -> None:
        """Handle one event; an unexpected error of the expired timers does not keep it back."""
        now = time.monotonic()
        if self.cores.is_late_for(event, now):
            perform_logged(lambda tick: self._dispatch(tick, now), Tick())
        self._dispatch(event, now)

    def _dispatch(self, event: Event, now: float) -> None:
        try:
            actions = self.cores.dispatch(event, now)
        except Exception:
            if isinstance(event, RequestArrived):
                answer = AnswerCall(event.call_id, Verdict.UNKNOWN, "internal-error")
                self.callers.answer(answer)
            raise
        for action in actions:
            perform_logged(self._perform, action)

    def _perform(self, action: Action) -> None:
        match action:
            case SendPeer(peer, message):
                self.peers.send(peer, message)
            case AnswerCall():
                self.callers.answer(action)
            case RunAtServer(attempt, timeout_s):
                self.upstream.run(attempt, timeout_s)
            case CancelAtServer(attempt_id):
                self.upstream.cancel(attempt_id)
            case CheckServer(path, timeout_s):
                self.upstream.check(path, timeout_s)
            case TellLoad(hosts, report):
                self.load_datagrams.send(hosts, report)
            case WatchDirectory(is_wanted):
                self._reader.watch(is_wanted)
            case Record(name, fields):
                self._record(name, dict(fields))

    def _record(self, name: str, values: dict[str, object]) -> None:
        """Count and log an event; an answer without a response is logged as `call_failed`."""
        self.metrics.record(name, values)
        if name == "configuration_in_force":
            configuration = self.cores.directory.configuration
            self.callers.limits = configuration.limits
            self.upstream.has_workspaces = configuration.has_workspaces
        if name == "call_answered" and values["verdict"] != Verdict.RAN:
            name = "call_failed"
        log(name, **values)

    # --- Pages ---

    def _readiness(self) -> Page:
        return (
            (200 if self.ready else 503),
            "application/json",
            b'{"ready":%s}' % (b"true" if self.ready else b"false"),
        )

    def _metrics_page(self) -> Page:
        gauge_by_name = {
            "ready": float(self.ready),
            "open_requests": self.callers.open_requests,
            "server_in_flight_requests": self.cores.guard.in_flight,
            "server_queued_requests": self.cores.guard.queued,
            "quota_leases": self.cores.quotas.core.quotas.open_leases,
            "quota_shares": self.cores.quotas.core.owner.open_shares,
            "server_recent_starts": self.cores.guard.recovery.recent_starts(time.monotonic()),
            "server_limited_routes": self.cores.guard.recovery.limited_routes,
            "directory_revision": self.cores.directory.revision,
            "server_limit_per_s": self.cores.guard.limit_per_s,
        } | memory_gauges(self.memory.account)
        return 200, CONTENT_TYPE, self.metrics.text(gauge_by_name)

    # --- Start and stop ---

    def start(self) -> None:
        """Start listening, and start the background tasks."""
        return_long_blocks()
        self.peers.start()
        self.load_datagrams.start()
        for server in self._servers:
            server.start()
        spawn_supervised("timer", self._driver.run_timer)
        self._reader.start()
        spawn_supervised("settings watch", self._watch_settings)
        settings = self.settings
        log(
            "daemon_started",
            incarnation=self.incarnation,
            service=settings.service,
            server=settings.server,
            call_address=settings.call_address,
        )

    def wait(self) -> None:
        """Block until the daemon has ended."""
        self._ended.wait()

    def stop(self) -> None:
        """Refuse new work, finish requests in flight, then end. Returns immediately."""
        if not self.stopping:
            self.stopping = True
            gevent.spawn(self._drain)

    def _drain(self) -> None:
        started = time.monotonic()
        plan = make_drain_plan(started, seconds(self.settings.grace))
        log("daemon_stopping", in_flight=self.cores.guard.in_flight, calls=self._pending())
        self.callers.is_closing = True
        self.cores.gate.drain_plan = plan
        self.post(StopRequested())
        while (now := time.monotonic()) < plan.cut_at:
            if now > plan.idle_from and not self._pending():
                break
            gevent.sleep(POLL_S)
        self.callers.is_refusing = True
        if self._pending():
            log("drain_timeout", in_flight=self.cores.guard.in_flight, calls=self._pending())
            self.post(DrainExpired())
        gevent.sleep(plan.last_answers_s(time.monotonic()))
        for server in self._servers:
            server.close()
        log("daemon_stopped", seconds=round(time.monotonic() - started, 2))
        self._ended.set()

    def _pending(self) -> int:
        guard = self.cores.guard
        return self.callers.open_requests + self.callers.reading + guard.in_flight + guard.queued

    # --- Settings ---

    def _watch_settings(self) -> None:
        while True:
            gevent.sleep(SETTINGS_POLL_S)
            if _file_stamp(self._settings_path) != self._settings_stamp:
                self.reload()

    def reload(self) -> None:
        """Reload the settings file; an invalid file is logged and ignored.

        Changed settings that need a restart are logged, and keep their values until then.
        """
        self._settings_stamp = _file_stamp(self._settings_path)
        try:
            settings = load_proxy_settings(self._settings_path)
        except ConfigurationError as error:
            log("settings_refused", reason=str(error))
            return
        kept = {name: getattr(self.settings, name) for name in RESTART_SETTINGS}
        needs_restart = [name for name in kept if getattr(settings, name) != kept[name]]
        settings = msgspec.structs.replace(settings, **kept)
        if settings.server != self.settings.server:
            self.upstream.set_server(settings.server)
        self.settings = settings
        rules, quota_rules = _budget_rules(settings), _quota_rules(settings)
        self.cores.reconfigure(_location(settings), rules, quota_rules, time.monotonic())
        LOGGER.setLevel(settings.log_level)
        log(
            "settings_reloaded",
            service=settings.service,
            server=settings.server,
            needs_restart=needs_restart,
        )


def _file_stamp(path: str) -> tuple[int, int] | None:
    try:
        found = os.stat(path)
    except OSError:
        return None  # The platform may be replacing the file; the next check sees the new one.
    return found.st_mtime_ns, found.st_size


def _location(settings: ProxySettings) -> DaemonLocation:
    return DaemonLocation(
        peer_address=settings.peer_address,
        failure_domain=settings.failure_domain,
        service=settings.service,
        server=settings.server,
        cold_bound=ColdBound(settings.cold_factor, settings.cold_slack),
    )


def _budget_rules(settings: ProxySettings) -> BudgetRules:
    window_s = seconds(settings.retry_window)
    return BudgetRules(settings.retry_ratio, settings.retry_slack, window_s)


def _quota_rules(settings: ProxySettings) -> QuotaRules:
    window_s = max(MIN_QUOTA_WINDOW_S, seconds(settings.quota_window))
    return QuotaRules(window_s, settings.quota_excess, settings.quota_slack)
