"""The cores of one proxy: directory, relay, gate, quotas, entry and guard."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from pollenroad.boundary import (
    AttemptUnsent,
    CallAbandoned,
    PeerLost,
    PeerReceived,
    ServerAnswered,
    ServerFailed,
    ServerShed,
    StopRequested,
    Tick,
)
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.messages import AttemptAnswer
from pollenroad.proxy.boundary import (
    Action,
    DirectoryChanged,
    DirectoryEvent,
    DirectoryLost,
    DirectoryRead,
    DrainExpired,
    EntryLost,
    Event,
    KeysChanged,
    LoadHeard,
    RequestAdmitted,
    RequestArrived,
    ServerAdvertised,
    ServerSeen,
    ServerSilent,
)
from pollenroad.proxy.budgets import BudgetRules
from pollenroad.proxy.cold_rate import ColdBound
from pollenroad.proxy.dialect import OWN_DIALECT, Dialect
from pollenroad.proxy.directory import make_directory
from pollenroad.proxy.directory_updates import event_of
from pollenroad.proxy.entry import Entry
from pollenroad.proxy.guard import make_guard
from pollenroad.proxy.quotas.allocation import DEFAULT_RULES, QuotaRules
from pollenroad.proxy.quotas.core import QuotaCore
from pollenroad.proxy.quotas.stage import QuotaStage
from pollenroad.proxy.relay import DirectoryRelay
from pollenroad.proxy.workspaces.gate import RequestGate
from pollenroad.published import Configuration
from pollenroad.received_answers import checked_event
from pollenroad.relay_messages import AskDirectory, Bulletin, DirectoryNews


@dataclass(frozen=True, slots=True)
class DaemonLocation:
    """Location of a daemon: its address, its failure domain and the server beside it."""

    peer_address: str
    failure_domain: str
    service: str
    """Service of the server."""
    server: str
    """Address of the server."""
    cold_bound: ColdBound = ColdBound()


class ProxyCores:
    """State of one proxy; passes each event to the core that handles it."""

    def __init__(
        self,
        incarnation: str,
        location: DaemonLocation,
        rules: BudgetRules,
        rng: random.Random,
        now: float,
        dialect: Dialect = OWN_DIALECT,
        quota_rules: QuotaRules = DEFAULT_RULES,
        suspended_s: Callable[[], float] = lambda: 0.0,
    ):
        self.directory = make_directory()
        self._configuration: Configuration | None = None
        """Configuration for which the keys of open requests were last checked."""
        self.gate = RequestGate(self.directory, dialect)
        quotas = QuotaCore(location.peer_address, location.failure_domain, quota_rules, rng, now)
        self.quotas = QuotaStage(quotas, self.directory)
        self.entry = Entry(
            incarnation,
            location.failure_domain,
            self.directory,
            rules,
            rng,
            dialect,
            suspended_s,
        )
        self.entry.set_caller(location.service)
        self.relay = DirectoryRelay(location.peer_address, location.failure_domain, self.directory)
        self.guard = make_guard(
            location.server,
            location.service,
            self.directory,
            now,
            location.cold_bound,
            suspended_s,
        )
        self.entry.on_failed_call = self.guard.recovery.call_failed

    def reconfigure(
        self, location: DaemonLocation, rules: BudgetRules, quota_rules: QuotaRules, now: float
    ) -> None:
        """Apply changed settings, but the address and failure domain of the daemon."""
        self.quotas.core.set_rules(quota_rules, now)
        self.entry.set_caller(location.service)
        self.entry.budgets.set_rules(rules)
        self.guard.local.service = location.service
        self.guard.local.address = location.server
        self.guard.policy.cold_bound = location.cold_bound

    @property
    def open_calls(self) -> int:
        """Number of requests without an answer yet."""
        return self.gate.open_calls + self.quotas.open_calls + self.entry.open_calls

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        parts = (self.directory, self.gate, self.quotas, self.entry, self.guard, self.relay)
        dues = [due for part in parts if (due := part.next_due()) is not None]
        return min(dues) if dues else None

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the actions that follow.

        Expired timers are handled first, so that a process that was paused acts on an answer or
        attempt only after it has noticed which time limits passed during the pause.
        """
        actions = self.dispatch(Tick(), now) if self.is_late_for(event, now) else []
        return actions + self.dispatch(event, now)

    def is_late_for(self, event: Event, now: float) -> bool:
        """Return whether timers have expired that an event must not overtake."""
        due = self.next_due()
        return due is not None and due <= now and not isinstance(event, Tick)

    def dispatch(self, event: Event, now: float) -> list[Action]:
        """Pass one event to the core that handles it; return the actions that follow."""
        match event:
            case DirectoryRead() | DirectoryChanged() | DirectoryLost():
                return [*self._update_directory(event, now), *self.relay.on_read(event, now)]
            case PeerReceived(peer, DirectoryNews() as update):
                if reason := self.relay.reason_to_ignore(update):
                    ignored = self.relay.ignored(update, peer, reason)
                    newest = update.configuration if update.is_whole else None
                    records = list(self.directory.learn(newest))
                    self.quotas.update(now)
                    return [ignored, *records, *self._recheck_keys(now)]
                changed = event_of(update, peer)
                return [*self._update_directory(changed, now), *self.relay.forward(event)]
            case PeerReceived(_, Bulletin() | AskDirectory()):
                return self.relay.handle(event, now)
            case RequestArrived():
                return self._pass_gate(event, now)
            case CallAbandoned() | DrainExpired():
                held = [*self._pass_gate(event, now), *self._pass_quotas(event, now)]
                return [*held, *self.entry.handle(event, now)]
            case PeerReceived(_, LimitRequest() | LimitGrant() | LimitReturn()):
                return self._pass_quotas(event, now)
            case PeerLost():
                return [*self.entry.handle(event, now), *self._pass_quotas(event, now)]
            case AttemptUnsent() | LoadHeard():
                return self.entry.handle(event, now)
            case PeerReceived(_, AttemptAnswer()):
                checked, records = checked_event(event)
                return [*records, *self.entry.handle(checked, now)]
            case PeerReceived() | EntryLost() | StopRequested():
                return self.guard.handle(event, now)
            case ServerAnswered() | ServerFailed() | ServerShed():
                return self.guard.handle(event, now)
            case ServerSeen() | ServerAdvertised() | ServerSilent():
                return self.guard.handle(event, now)
            case Tick():
                actions = list(self.directory.expire(now))
                if actions:
                    self.quotas.update(now)
                actions += self.relay.handle(event, now)
                actions += [*self._pass_gate(event, now), *self._pass_quotas(event, now)]
                return [*actions, *self.entry.handle(event, now), *self.guard.handle(event, now)]
        return []

    def _update_directory(self, event: DirectoryEvent, now: float) -> list[Action]:
        records = self.directory.handle(event, now)
        self.entry.fleet.forget(self.directory.all_endpoints())
        self.quotas.update(now)
        checked = self._recheck_keys(now)
        passed = self._pass_gate(event, now)
        return [*records, *checked, *passed, *self.guard.handle(event, now)]

    def _pass_gate(self, event: Event, now: float) -> list[Action]:
        """Pass an event to the gate, and the requests that it admits to the quotas."""
        actions: list[Action] = []
        for action in self.gate.handle(event, now):
            is_admitted = isinstance(action, RequestAdmitted)
            actions += self._pass_quotas(action, now) if is_admitted else [action]
        return actions

    def _pass_quotas(self, event: Event, now: float) -> list[Action]:
        """Pass an event to the quotas, and the requests that they admit to the entry."""
        actions: list[Action] = []
        for action in self.quotas.handle(event, now):
            is_admitted = isinstance(action, RequestAdmitted)
            actions += self.entry.handle(action, now) if is_admitted else [action]
        return actions

    def _recheck_keys(self, now: float) -> list[Action]:
        """Check the keys of open requests if another configuration is in force."""
        before, self._configuration = self._configuration, self.directory.configuration
        if before is None or before is self._configuration:
            return []
        if not (before.has_workspaces or self._configuration.has_workspaces):
            return []
        event = KeysChanged()
        return [*self._pass_gate(event, now), *self.entry.handle(event, now)]
