"""A daemon's copy of the platform's routes and endpoints, and the age of that copy.

The platform is only read, and its contents are applied as they are, with these exceptions: a
configuration is never replaced by an older one; registrations may have lapsed (see
`pollenroad.proxy.registrations`); and after the platform came back from a copy, a failure domain
stays out of service until operators have had the time to repeat what was lost.
"""

from collections.abc import Iterator

from pollenroad.boundary import Record
from pollenroad.proxy.boundary import (
    DirectoryChanged,
    DirectoryEvent,
    DirectoryItem,
    DirectoryLost,
    DirectoryRead,
    EndpointRemoved,
    Position,
)
from pollenroad.proxy.registrations import RENEWAL_GRACE_S, Outage, Registrations
from pollenroad.proxy.routes import RouteTable
from pollenroad.published import Configuration, DomainOut, RegisteredEndpoint


class Directory:
    """Routes, endpoints and failure domains out of service, as last read."""

    def __init__(self):
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.position = Position()
        self.read_at = float("-inf")
        """Monotonic time of the last update or confirmation, in seconds."""
        self.stated_out_domains: frozenset[str] = frozenset()
        """Failure domains out of service according to the platform."""
        self.out_domains: frozenset[str] = frozenset()
        """Those, and the ones that were so before the platform came back from a copy."""
        self._held_out_until: dict[str, float] = {}
        self._outage = Outage()
        self._registrations = Registrations(self._outage)

    # --- Queries of entry and guard ---

    @property
    def revision(self) -> int:
        """Revision of this copy."""
        return self.position.revision

    def endpoints(self, service: str) -> Iterator[RegisteredEndpoint]:
        """Return the endpoints of a service that accept new work, including lapsed ones."""
        return filter(self.is_usable, self._registrations.of_service(service))

    def all_endpoints(self) -> Iterator[RegisteredEndpoint]:
        """Yield every known endpoint, including those that are leaving."""
        return self._registrations.all()

    def registered_endpoints(self) -> Iterator[RegisteredEndpoint]:
        """Yield the endpoints that the platform holds, without lapsed ones."""
        return (e for e in self.all_endpoints() if not self.is_lapsed(e.incarnation))

    def is_usable(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether an endpoint accepts new work."""
        return not endpoint.is_leaving and endpoint.failure_domain not in self.out_domains

    def is_lapsed(self, incarnation: str) -> bool:
        """Return whether an endpoint's lease expired and the endpoint has not registered again."""
        return self._registrations.is_lapsed(incarnation)

    def endpoint_at(self, server: str) -> RegisteredEndpoint | None:
        """Return the endpoint that registered last at a server's address, or None."""
        return self._registrations.newest_at(server)

    def next_due(self) -> float | None:
        """Return when `expire` is next needed, in monotonic seconds."""
        if self._outage.is_lost:
            return None
        due = self._registrations.next_due()
        if not self._held_out_until:
            return due
        return min((*self._held_out_until.values(), *(() if due is None else (due,))))

    # --- Updates from the platform ---

    def handle(self, event: DirectoryEvent, now: float) -> list[Record]:
        """Apply an update from the platform; return records of what changed."""
        match event:
            case DirectoryLost(reason):
                return self._mark_lost(reason, now)
            case DirectoryRead() if self._is_outdated(event):
                return [*self._confirm_epoch(event, now), _ignored(event, self.position)]
            case DirectoryRead():
                records = [*self._observe(event, now), *self._replace_all(event, now)]
            case DirectoryChanged() if event.epoch != self.position.epoch:
                return [_ignored(event, self.position)]
            case DirectoryChanged(revision) if revision < self.revision:
                return self._confirm_epoch(event, now)
            case DirectoryChanged(_, items):
                records = [*self._observe(event, now), *self._apply_changes(items, now)]
                self.position = event.position
        self.read_at = now
        return records

    def confirm(self, now: float) -> list[Record]:
        """Mark this copy as up to date."""
        self.read_at = now
        return self._mark_regained(now)

    def learn(self, configuration: Configuration | None) -> Iterator[Record]:
        """Apply a configuration that another daemon has in force, if it is newer."""
        before = self.configuration.version if self.configuration else 0
        if configuration is not None and configuration.version > before:
            yield from self._configure(configuration)

    def lost_ago_s(self, now: float) -> float:
        """Return the time since a read of the platform last failed, in seconds."""
        return 0.0 if self.is_lost else now - self._outage.last_at

    @property
    def is_lost(self) -> bool:
        """Whether the last read of the platform failed."""
        return self._outage.is_lost

    def expire(self, now: float) -> list[Record]:
        """End what was held because of a doubt, if its time has passed; return the records."""
        if self.is_lost:
            return []
        records = list(self._registrations.expire(now))
        ended = [domain for domain, until in self._held_out_until.items() if until <= now]
        for domain in ended:
            del self._held_out_until[domain]
        return [*records, *(self._set_domains(self.stated_out_domains) if ended else ())]

    def _mark_lost(self, reason: str, now: float) -> list[Record]:
        self._outage.last_at = now
        if self.is_lost:
            return []
        self._outage.is_lost = True
        return [Record("directory_lost", (("reason", reason), ("revision", self.revision)))]

    def _mark_regained(self, now: float) -> list[Record]:
        if not self.is_lost:
            return []
        self._outage.is_lost = False
        self._outage.last_at = now
        self._registrations.regained(now)
        self._held_out_until = dict.fromkeys(self._held_out_until, now + RENEWAL_GRACE_S)
        return [Record("directory_regained", (("age_s", round(now - self.read_at, 3)),))]

    def _is_outdated(self, event: DirectoryRead) -> bool:
        """Return whether this copy is newer; a platform without epochs may have been replaced."""
        is_comparable = event.peer or event.epoch or self.position.epoch
        return bool(is_comparable) and event.position < self.position

    def _confirm_epoch(self, event: DirectoryRead | DirectoryChanged, now: float) -> list[Record]:
        """Take an older answer of the same epoch as a sign that the platform can be read."""
        is_own = not event.peer and event.epoch == self.position.epoch
        return self._mark_regained(now) if is_own else []

    def _observe(self, event: DirectoryRead | DirectoryChanged, now: float) -> Iterator[Record]:
        """Note that the platform can be read, and whether it came back from a copy."""
        self._outage.last_at = max(self._outage.last_at, now - event.lost_ago_s)
        yield from self._mark_regained(now)
        if not self.revision or event.epoch == self.position.epoch:
            return
        if not event.peer:  # A peer states when it found out.
            self._outage.last_at = now
        fields = (("epoch", event.epoch), ("before", self.position.epoch), ("peer", event.peer))
        revisions = (("revision", event.revision), ("revision_before", self.revision))
        yield Record("store_restored", (*fields, *revisions))

    def _replace_all(self, event: DirectoryRead, now: float) -> Iterator[Record]:
        is_restored = event.epoch > self.position.epoch
        self.position = event.position
        self._registrations.epoch = event.epoch
        if event.configuration is not None:
            yield from self._configure(event.configuration)
        if is_restored:
            lost = self.out_domains - event.out_domains
            until = self._outage.last_at + RENEWAL_GRACE_S
            self._held_out_until = dict.fromkeys(lost, until) if until > now else {}
        yield from self._set_domains(event.out_domains)
        yield from self._registrations.replace_all(event.endpoint_by_incarnation, now)

    def _apply_changes(self, items: tuple[DirectoryItem, ...], now: float) -> Iterator[Record]:
        changes = [i for i in items if isinstance(i, RegisteredEndpoint | EndpointRemoved)]
        yield from self._registrations.apply(changes, now)
        for item in items:
            match item:
                case Configuration():
                    yield from self._configure(item)
                case DomainOut(domain, is_out):
                    self._held_out_until.pop(domain, None)
                    others = self.stated_out_domains - {domain}
                    yield from self._set_domains(others | {domain} if is_out else others)

    def _configure(self, configuration: Configuration) -> Iterator[Record]:
        before = self.configuration.version if self.configuration else 0
        if configuration.version == before:
            return
        if configuration.version < before:
            fields = (("version", configuration.version), ("in_force", before))
            yield Record(
                "configuration_refused", (("reason", "older than the one in force"), *fields)
            )
            return
        has_keys = configuration.has_workspaces
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self._registrations.declare(frozenset(configuration.service_by_name))
        yield Record(
            "configuration_in_force",
            (
                ("version", configuration.version),
                ("before", before),
                ("routes", len(configuration.routes)),
                *((("keys", len(configuration.workspace_by_key)),) if has_keys else ()),
            ),
        )

    def _set_domains(self, stated: frozenset[str]) -> Iterator[Record]:
        self.stated_out_domains = stated
        domains = stated | self._held_out_until.keys()
        if domains != self.out_domains:
            self.out_domains = domains
            yield Record("domains_out", (("failure_domains", sorted(domains)),))


def _ignored(event: DirectoryRead | DirectoryChanged, position: Position) -> Record:
    fields = (("peer", event.peer), ("reason", "not newer"), ("update", str(event.position)))
    return Record("directory_update_ignored", (*fields, ("position", str(position))))


def make_directory() -> Directory:
    """Return an empty directory."""
    return Directory()
