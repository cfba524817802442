"""The daemon: one process per VM, which connects the cores to sockets.

All events go through one queue and are handled one at a time; the resulting actions are performed
immediately, and none of them blocks.
"""

import random
import secrets
import time

import gevent
from gevent.event import Event as Flag

from pollenroad.boundary import (
    Action,
    AnswerCall,
    CancelAtServer,
    DocumentInForce,
    Event,
    ListDocuments,
    ListVms,
    PlatformRequest,
    ProbeServer,
    ReadDocument,
    Record,
    RelayReady,
    RunAtServer,
    SendPeer,
    StopRequested,
    Tick,
    WatchPlatform,
)
from pollenroad.cores import make_cores
from pollenroad.logs import LOGGER, log
from pollenroad.models import Document
from pollenroad.received_answers import checked_event
from pollenroad.recent_records import RecentRecords
from pollenroad.relay.relay import RelaySettings
from pollenroad.settings import Settings
from pollenroad.shell.control_cost import make_cost_meter
from pollenroad.shell.driver import Driver, perform_logged
from pollenroad.shell.http import Calls, make_call_app, make_call_server
from pollenroad.shell.metrics import make_metrics
from pollenroad.shell.operator_http import make_operator_server
from pollenroad.shell.peers import Identity, Peers
from pollenroad.shell.platform import Platform
from pollenroad.shell.recording import make_recorder
from pollenroad.shell.restart_detector import RestartDetector
from pollenroad.shell.upstream import Upstream

POLL_WHILE_DRAINING_S = 0.02
"""Time between two checks for requests in flight while draining, in seconds."""

LEAVING_NOTICE_S = 1.0
"""Time between the end of draining and the closing of sockets, in seconds. New calls in this time
are still refused as `leaving`, so that callers with open connections use another entry."""


class Daemon:
    """One daemon: the cores and their sockets."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.incarnation = f"{settings.vm}-{secrets.token_hex(4)}"
        self.document_by_key: dict[str, Document] = {}
        self.recent = RecentRecords(settings.recent_records)
        self.stopping = False
        self._ended = Flag()
        self._driver = Driver(self._handle, lambda: self.cores.next_due())
        self.post = self._driver.post
        rng = random.Random(self.incarnation)
        relay_settings, start = self._relay_settings(), time.monotonic()
        self.cores = make_cores(self.incarnation, settings.service, relay_settings, rng, start)
        self._recorder = None
        if settings.record:
            path = settings.record
            self._recorder = make_recorder(path, relay_settings, self.incarnation, start)
        self.calls = Calls(self.post, self._refusal_reason)
        self.upstream = Upstream(settings.server, self.post)
        self._restart_detector = RestartDetector(settings.server, self.post)
        self.cost_meter = make_cost_meter()
        self.metrics = make_metrics(self)
        self.peers = Peers(self._identity(), self.post, self.cores.relay.is_member, self.cost_meter)
        self.platform = Platform(settings.platform)
        app = make_call_app(self.calls)
        self._call_server = make_call_server(
            settings.call_address,
            app,
            settings.max_connections,
            settings.idle_timeout_s,
            settings.max_header_bytes,
        )
        self._operator_server = make_operator_server(self)

    def _identity(self) -> Identity:
        settings = self.settings
        return Identity(
            settings.vm,
            settings.peer_address,
            self.incarnation,
            settings.failure_domain,
            settings.peer_key,
        )

    def _relay_settings(self) -> RelaySettings:
        settings = self.settings
        return RelaySettings(
            vm=settings.vm,
            address=settings.peer_address,
            failure_domain=settings.failure_domain,
            incarnation=int(time.time() * 1000),
            service=settings.service,
            seeds=settings.seeds,
            fleet_hint=settings.fleet_hint,
            wall_offset_s=time.time() - time.monotonic(),
        )

    @property
    def ready(self) -> bool:
        """Whether this daemon has a configuration and accepts work."""
        return self.cores.relay.ready and not self.stopping

    def _refusal_reason(self) -> str:
        """Return why new calls are refused without being processed, or an empty string."""
        if self.stopping:
            return "leaving"
        return "" if self.cores.relay.ready else "starting"

    # --- Events and actions ---

    def _handle(self, event: Event) -> None:
        # Before recording, which leaves out the fields that the check is about.
        event, records = checked_event(event)
        for record in records:
            perform_logged(self._perform, record)
        with self.cost_meter.handling(event):
            now = time.monotonic()
            if self._recorder:
                self._recorder.record_event(event, now)
            for action in self.cores.handle(event, now):
                if self._recorder:
                    self._recorder.record_action(action)
                perform_logged(self._perform, action)

    def _perform(self, action: Action) -> None:
        match action:
            case SendPeer(peer, message):
                self.peers.send(peer, message)
            case AnswerCall():
                self.calls.answer(action)
            case RunAtServer(attempt, timeout_s):
                self.upstream.run(attempt, timeout_s)
            case CancelAtServer(attempt_id):
                self.upstream.cancel(attempt_id)
            case ProbeServer(timeout_s):
                self.upstream.probe(timeout_s)
            case DocumentInForce(document):
                self.document_by_key[document.key] = document
                log("document_in_force", key=document.key, version=document.version)
            case RelayReady(documents, alone):
                log("daemon_ready", documents=documents, alone=alone)
            case ReadDocument() | ListDocuments() | ListVms() | WatchPlatform():
                gevent.spawn(self._read_platform, action)
            case Record(name, fields):
                self.recent.add(name, fields)
                self.metrics.record(name, fields)
                log(name, **dict(fields))

    # --- Platform ---

    def _read_platform(self, request: PlatformRequest) -> None:
        self.post(self.platform.answer(request))

    # --- Start and stop ---

    def start(self) -> None:
        """Start listening, and start to read the configuration."""
        self.peers.start()
        self._call_server.start()
        self._operator_server.start()
        gevent.spawn(self._driver.run_timer)
        self._restart_detector.start()
        self.post(Tick())
        log("daemon_started", call_address=self.settings.call_address)

    def stop(self) -> None:
        """Refuse new work, finish requests in flight, then end. Returns immediately."""
        if not self.stopping:
            self.stopping = True
            gevent.spawn(self._drain)

    def _drain(self) -> None:
        log("daemon_stopping", in_flight=self.cores.guard.in_flight, calls=len(self.calls))
        self.post(StopRequested())
        document = self.document_by_key.get(self.settings.service)
        limit_s = document.drain_s if document else self.settings.stop_grace_s
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline and (self.cores.guard.in_flight or len(self.calls)):
            gevent.sleep(POLL_WHILE_DRAINING_S)
        if self.cores.guard.in_flight or len(self.calls):
            log("drain_timeout", in_flight=self.cores.guard.in_flight, calls=len(self.calls))
        gevent.sleep(LEAVING_NOTICE_S)
        self._call_server.stop(timeout=1)
        self.peers.stop()
        self._restart_detector.stop()
        self._operator_server.stop(timeout=1)
        if self._recorder:
            self._recorder.close()
        log("daemon_stopped")
        self._ended.set()

    def wait(self) -> None:
        """Block until the daemon has ended."""
        self._ended.wait()


def _log_task_failure(context, kind, value, traceback) -> None:
    if not issubclass(kind, gevent.get_hub().NOT_ERROR):
        LOGGER.error("internal_error", exc_info=(kind, value, traceback))


def make_daemon(settings: Settings) -> Daemon:
    """Return a daemon, not yet started. Failures of tasks are logged from now on."""
    gevent.get_hub().handle_error = _log_task_failure
    return Daemon(settings)
