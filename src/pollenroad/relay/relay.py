"""Relay core: gossip of documents and membership between daemons, and reads of the platform.

Combines the documents (`dissemination`), the statuses of VMs (`liveness`), the neighbours
(`directory`), the heartbeats (`heartbeats`), the platform reads (`platform_watch`) and the
bootstrap of a new daemon (`bootstrap`). It does no I/O: see `pollenroad.boundary`.
"""

import random
from collections.abc import Iterable, Iterator

from pollenroad.boundary import (
    Action,
    AttemptAnswer,
    DocumentInForce,
    DocumentRead,
    DocumentsListed,
    Event,
    MembershipChanged,
    PeerReceived,
    PlatformFailed,
    Record,
    RelayReady,
    SendPeer,
    StopRequested,
    VmsListed,
    WatchReturned,
)
from pollenroad.messages import Attempt, Leaving
from pollenroad.relay.audit import AuditTrail
from pollenroad.relay.bootstrap import make_bootstrap
from pollenroad.relay.configuration import make_configuration
from pollenroad.relay.directory import Vm, make_directory
from pollenroad.relay.dissemination import PLATFORM, Explain, make_dissemination
from pollenroad.relay.heartbeats import Heartbeats, RelaySettings
from pollenroad.relay.links import Links
from pollenroad.relay.liveness import Liveness
from pollenroad.relay.platform_watch import WATCHERS_PER_DOMAIN, PlatformReads
from pollenroad.relay_messages import (
    Announce,
    AskDigests,
    DocumentCopy,
    FetchDocuments,
    Heartbeat,
    Opinion,
    Suspect,
    VmNews,
)

TICK_S = 0.1
"""Interval of ticks, in seconds."""

REFRESH_S = 1.0
"""Interval at which neighbours, watchers and the view are recomputed, in seconds."""

PRUNE_S = 30.0
"""Interval at which records that are no longer needed are dropped, in seconds."""

FRESH_S = 30.0
"""Age up to which the last read of the platform counts as recent, in seconds."""

LISTED_KEY = "#listed"
"""Directory key for VMs known only from the platform's list, during bootstrap."""


class Relay:
    """State of one relay."""

    def __init__(self, settings: RelaySettings, explain: Explain, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self.trail = AuditTrail(settings.vm)
        self.configuration = make_configuration()
        self.directory = make_directory()
        self._dissemination = make_dissemination(self.configuration, self.trail, explain)
        self._reads = PlatformReads(self.configuration, settings.fleet_hint, settings.service, rng)
        self._bootstrap = make_bootstrap()
        self._links = Links(settings.seeds)
        self._liveness = Liveness(
            settings.vm,
            settings.incarnation,
            self.directory,
            self._links,
            self.trail,
            self._to_wall_s,
        )
        self._heartbeats = Heartbeats(
            settings, self.configuration, self.directory, self._links, self._liveness, rng
        )
        self.ready = False
        self._read_at = float("-inf")
        self._tick_due = 0.0
        self._refresh_due = 0.0
        self._prune_due = 0.0

    # --- Boundary ---

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon watches the platform for its failure domain."""
        return self._reads.is_watcher

    @property
    def view(self) -> MembershipChanged:
        """The membership last sent to the entry."""
        return self._liveness.view

    def is_behind(self, attempt: Attempt) -> bool:
        """Return whether the sender of an attempt uses a newer document than this daemon."""
        return attempt.config_version > self.configuration.version(attempt.service)

    def is_member(self, address: str) -> bool:
        """Return whether a peer address belongs to a known daemon, or no daemon is known yet."""
        return not len(self.directory) or self.directory.name_at(address) is not None

    def platform_age_s(self, now: float) -> float:
        """Return the seconds since the last known read of the platform by any watcher."""
        return self._heartbeats.platform_age_s(now)

    def next_due(self) -> float:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._tick_due

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event and return the resulting actions."""
        self._bootstrap.begin(now)
        self._liveness.detector.observe_pause(now)
        actions = list(self._handle(event, now))
        if now >= self._tick_due:
            self._tick_due = now + TICK_S
            actions += self._periodic(now)
        if now >= self._liveness.view_due:
            actions += self._liveness.update_view(now)
        actions += self._dissemination.due(now)
        return actions

    def _handle(self, event: Event, now: float) -> Iterable[Action]:
        match event:
            case PeerReceived(peer, message):
                return self._on_message(peer, message, now)
            case DocumentRead(key, data):
                return self._on_read(key, data, now)
            case DocumentsListed():
                self._note_read(now)
                self._reads.on_list(event, now)
            case WatchReturned():
                self._note_read(now)
                self._reads.on_watch(event, now)
            case VmsListed():
                return self._on_vms(event, now)
            case PlatformFailed(_, reason):
                self._reads.on_failed(event, now)
                return [Record("platform_failed", (("reason", reason),))]
            case StopRequested():
                return self._liveness.leave(now)
        return ()

    def _on_message(self, peer: str, message, now: float) -> Iterable[Action]:
        match message:
            case Heartbeat():
                return self._on_heartbeat(peer, message, now)
            case Announce():
                if message.complete:
                    self._bootstrap.note_answer(peer, message.joining, now)
                return self._dissemination.on_announce(peer, message, self._to_wall_s(now))
            case AskDigests():
                everything = self._dissemination.all_announcements(peer, not self.ready)
                return [*everything, *self._liveness.full_state(peer)]
            case FetchDocuments():
                return self._dissemination.copies(peer, message)
            case Attempt(service=service, config_version=version):
                self._dissemination.fetch_newer(service, version, peer)
            case DocumentCopy(key, data):
                return self._offer(key, data, peer, now)
            case VmNews(statuses, listings):
                return self._liveness.merge(statuses, listings, peer, now)
            case Suspect(vm):
                return self._liveness.on_suspect(peer, vm, now)
            case Opinion(vm, silence_s, suspects):
                self._liveness.detector.add_opinion(vm, peer, suspects, silence_s, now)
            case Leaving(vm):
                return self._liveness.on_leaving(vm, peer, now)
            case AttemptAnswer(reason="leaving"):
                return self._liveness.on_leaving(self.directory.name_at(peer), peer, now)
        return ()

    def _to_wall_s(self, now: float) -> float:
        return now + self._settings.wall_offset_s

    # --- Documents ---

    def _note_read(self, now: float) -> None:
        """Note a read of the platform.

        Only a watcher's read resets the platform age: a follower's read does not show that relays
        get updates of the platform.
        """
        self._read_at = now
        if self._reads.is_watcher:
            self._heartbeats.note_platform_read(now)

    def _on_read(self, key: str, data: bytes | None, now: float) -> list[Action]:
        self._note_read(now)
        actions = self._offer(key, data, PLATFORM, now) if data is not None else []
        self._reads.on_read(DocumentRead(key, data), now)
        return actions

    def _offer(self, key: str, data: bytes, source: str, now: float) -> list[Action]:
        links = self._links.addresses(now)
        _, actions = self._dissemination.offer(key, data, source, self._to_wall_s(now), links)
        accepted = [a.document for a in actions if isinstance(a, DocumentInForce)]
        for document in accepted:
            self._bootstrap.note_document(now)
            if self.directory.configure(document):
                self._refresh_due = now
        if self.ready:
            return actions
        return [action for action in actions if not isinstance(action, DocumentInForce)]

    def _on_heartbeat(self, peer: str, heartbeat: Heartbeat, now: float) -> Iterator[Action]:
        yield from self._liveness.on_heartbeat(peer, heartbeat, now)
        should_sync = self._heartbeats.receive(peer, heartbeat, now)
        if should_sync or self._should_sync_at_start(peer, now):
            yield SendPeer(peer, AskDigests())

    def _should_sync_at_start(self, peer: str, now: float) -> bool:
        if self.ready or self._bootstrap.has_answered(peer):
            return False
        return self._links.try_sync_at_start(peer, now)

    # --- The platform's list of VMs ---

    def _on_vms(self, event: VmsListed, now: float) -> Iterable[Action]:
        self._note_read(now)
        self._reads.on_vms(event)
        if not self.ready and not len(self.configuration):
            vms = (Vm(vm.name, vm.address, vm.failure_domain) for vm in event.vms)
            self.directory.replace(LISTED_KEY, vms)
            self._refresh_due = now
        return self._liveness.on_vm_list(event, now)

    # --- Periodic work ---

    def _periodic(self, now: float) -> Iterator[Action]:
        if now >= self._refresh_due or self._liveness.is_refresh_due:
            self._refresh_due = now + REFRESH_S
            self._liveness.view_due = now
            self._liveness.is_refresh_due = False
            yield from self._refresh(now)
        if now >= self._prune_due:
            self._prune_due = now + PRUNE_S
            self._liveness.membership.prune(now)
        yield from self._heartbeats.due(not self.ready, now)
        yield from self._liveness.suspicions(now)
        yield from self._liveness.deaths(now)
        yield from self._read_platform(now)
        if not self.ready:
            yield from self._run_bootstrap(now)

    def _refresh(self, now: float) -> Iterator[Action]:
        """Recompute neighbours and watchers."""
        me, domain = self._settings.vm, self._settings.failure_domain
        excluded = self._liveness.excluded()
        names = self.directory.neighbours(me, domain, excluded)
        self._liveness.detector.track_neighbours(names, now)
        addresses = [self.directory.get(name).address for name in names]
        fresh = self._links.set_neighbours(addresses)
        if self.ready:
            yield from (SendPeer(link, AskDigests()) for link in fresh)
        watchers = self.directory.watchers(
            domain, excluded | self.view.leaving, WATCHERS_PER_DOMAIN
        )
        self._reads.set_watcher(me in watchers, now)
        watcher_count = WATCHERS_PER_DOMAIN * len(self.directory.domains())
        self._reads.set_fleet_size(len(self.directory), watcher_count)

    def _read_platform(self, now: float) -> Iterable[Action]:
        return self._reads.due(now, self.platform_age_s(now), bool(len(self.directory)))

    def _run_bootstrap(self, now: float) -> Iterator[Action]:
        links = self._links.addresses(now)
        for link in links:
            if not self._bootstrap.has_answered(link) and self._links.try_sync_at_start(link, now):
                yield SendPeer(link, AskDigests())
        if not len(self.configuration):
            return
        settled = self._dissemination.is_settled and self._reads.is_settled
        is_read = min(self.platform_age_s(now), now - self._read_at) < FRESH_S
        if self._bootstrap.is_complete(len(links), settled, is_read, now):
            yield from self._start_work(now)

    def _start_work(self, now: float) -> Iterator[Action]:
        self.ready = True
        self.directory.replace(LISTED_KEY, ())
        self._refresh_due = now
        for key in self.configuration.keys():  # noqa: SIM118
            yield DocumentInForce(self.configuration.document(key))
        alone = not self._bootstrap.is_answered
        reason = "no peer answered; by the platform alone" if alone else "peers answered"
        self.trail.add(self._to_wall_s(now), "startup", self._settings.vm, reason=reason)
        if alone:
            yield Record("started_alone", (("reason", reason),))
        yield RelayReady(len(self.configuration), alone)


def make_relay(settings: RelaySettings, explain: Explain, rng: random.Random) -> Relay:
    """Make a relay.

    Args:
        settings: Identity of the daemon and parameters.
        explain: Returns sentences that describe a change, for the audit trail.
        rng: Source of randomness.
    """
    return Relay(settings, explain, rng)
