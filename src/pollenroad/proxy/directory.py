"""A daemon's copy of the platform's routes and endpoints, and the age of that copy.

The platform is only read, and its contents are applied as they are, with one exception:
registrations that end together, or soon after the platform was unavailable, may be leases that
expired because servers could not renew them. Such endpoints are kept as lapsed for up to
`RENEWAL_GRACE_S`, in which a running server registers again.
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
)
from pollenroad.proxy.routes import RouteTable
from pollenroad.published import Configuration, DomainOut, RegisteredEndpoint

RENEWAL_GRACE_S = 2.2
"""Time after the platform is reachable again in which running servers register again, in seconds:
the two seconds that the platform specifies, and a margin for the update to arrive."""

LAPSE_WINDOW_S = 3.0
"""Time within which leases expire if servers fail to renew them at the same time, in seconds."""

MASS_LAPSE_GRACE_S = 1.5
"""Time for which endpoints are kept if only the number of ended registrations suggests a lapse, in
seconds: below the two seconds after which a leaving endpoint must get no more work."""

MASS_LAPSE_SHARE = 0.34
"""Share of the registrations that must end within `LAPSE_WINDOW_S` to count as lapsed."""

MASS_LAPSE_MIN = 3
"""Minimum number of registrations that must end within `LAPSE_WINDOW_S` to count as lapsed."""


class Directory:
    """Routes, endpoints and failure domains out of service, as last read."""

    def __init__(self):
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.epoch = 0
        self.revision = 0
        self.read_at = float("-inf")
        """Monotonic time of the last update or confirmation, in seconds."""
        self.out_domains: frozenset[str] = frozenset()
        self._endpoint_by_incarnation: dict[str, RegisteredEndpoint] = {}
        self._endpoints_by_service: dict[str, list[RegisteredEndpoint]] = {}
        self._newest_by_server: dict[str, RegisteredEndpoint] = {}
        self._is_indexed = True
        self._lapsed_until: dict[str, float] = {}
        self._removed_at: dict[str, float] = {}
        self._lost_at = float("-inf")
        self._is_lost = False

    # --- Queries of entry and guard ---

    def endpoints(self, service: str) -> Iterator[RegisteredEndpoint]:
        """Return the endpoints of a service that accept new work, including lapsed ones."""
        self._build_index()
        return filter(self.is_usable, self._endpoints_by_service.get(service, ()))

    def all_endpoints(self) -> Iterator[RegisteredEndpoint]:
        """Yield every known endpoint, including those that are leaving."""
        yield from self._endpoint_by_incarnation.values()

    def is_usable(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether an endpoint accepts new work."""
        return not endpoint.is_leaving and endpoint.failure_domain not in self.out_domains

    def is_lapsed(self, incarnation: str) -> bool:
        """Return whether an endpoint's lease expired and the endpoint has not registered again."""
        return incarnation in self._lapsed_until

    def endpoint_at(self, server: str) -> RegisteredEndpoint | None:
        """Return the endpoint that registered last at a server's address, or None."""
        self._build_index()
        return self._newest_by_server.get(server)

    def next_due(self) -> float | None:
        """Return when `drop_lapsed` is next needed, in monotonic seconds."""
        if self._is_lost:
            return None
        return min(self._lapsed_until.values(), default=None)

    # --- Updates from the platform ---

    def handle(self, event: DirectoryEvent, now: float) -> list[Record]:
        """Apply an update from the platform; return records of what changed."""
        match event:
            case DirectoryLost(reason):
                return self._mark_lost(reason, now)
            case DirectoryRead():
                self._lost_at = max(self._lost_at, now - event.lost_ago_s)
                restored = self._observe_epoch(event)
                records = [*self._mark_regained(now), *restored, *self._replace_all(event, now)]
            case DirectoryChanged(revision, items):
                self._lost_at = max(self._lost_at, now - event.lost_ago_s)
                restored = self._observe_epoch(event)
                records = [*self._mark_regained(now), *restored, *self._apply_changes(items, now)]
                self.revision = max(self.revision, revision)
        self.read_at = now
        return records

    def confirm(self, now: float) -> list[Record]:
        """Mark this copy as up to date."""
        self.read_at = now
        return self._mark_regained(now)

    def lost_ago_s(self, now: float) -> float:
        """Return the time since a read of the platform last failed, in seconds."""
        return 0.0 if self._is_lost else now - self._lost_at

    @property
    def is_lost(self) -> bool:
        """Whether the last read of the platform failed."""
        return self._is_lost

    def drop_lapsed(self, now: float) -> list[Record]:
        """Drop lapsed endpoints that did not register again in time; return the records."""
        if self._is_lost:
            return []
        gone = [incarnation for incarnation, until in self._lapsed_until.items() if until <= now]
        return [
            self._drop(incarnation, "not registered again after the lease expired", now)
            for incarnation in gone
        ]

    def _mark_lost(self, reason: str, now: float) -> list[Record]:
        self._lost_at = now
        if self._is_lost:
            return []
        self._is_lost = True
        return [Record("directory_lost", (("reason", reason), ("revision", self.revision)))]

    def _mark_regained(self, now: float) -> list[Record]:
        if not self._is_lost:
            return []
        self._is_lost = False
        self._lost_at = now
        for incarnation in self._lapsed_until:
            self._lapsed_until[incarnation] = now + RENEWAL_GRACE_S
        return [Record("directory_regained", (("age_s", round(now - self.read_at, 3)),))]

    def _observe_epoch(self, event: DirectoryRead | DirectoryChanged) -> list[Record]:
        """Return the record that the platform has come back from a copy, if it has."""
        before, self.epoch = self.epoch, max(self.epoch, event.epoch)
        if not self.revision or self.epoch == before:
            return []
        fields = (("epoch", self.epoch), ("before", before), ("peer", event.peer))
        revisions = (("revision", event.revision), ("revision_before", self.revision))
        return [Record("store_restored", (*fields, *revisions))]

    def _replace_all(self, event: DirectoryRead, now: float) -> Iterator[Record]:
        self.revision = event.revision
        if event.configuration is not None:
            yield from self._configure(event.configuration)
        yield from self._set_domains(event.out_domains)
        missing = [
            n for n in self._endpoint_by_incarnation if n not in event.endpoint_by_incarnation
        ]
        yield from self._remove(missing, now)
        for endpoint in event.endpoint_by_incarnation.values():
            yield from self._register(endpoint)

    def _apply_changes(self, items: tuple[DirectoryItem, ...], now: float) -> Iterator[Record]:
        removed = [item.incarnation for item in items if isinstance(item, EndpointRemoved)]
        registered = {item.incarnation for item in items if isinstance(item, RegisteredEndpoint)}
        yield from self._remove(
            [incarnation for incarnation in removed if incarnation not in registered], now
        )
        for item in items:
            match item:
                case Configuration():
                    yield from self._configure(item)
                case RegisteredEndpoint():
                    yield from self._register(item)
                case DomainOut(domain, is_out):
                    changed = self.out_domains | {domain} if is_out else self.out_domains - {domain}
                    yield from self._set_domains(changed)

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
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        yield Record(
            "configuration_in_force",
            (
                ("version", configuration.version),
                ("before", before),
                ("routes", len(configuration.routes)),
            ),
        )

    def _set_domains(self, domains: frozenset[str]) -> Iterator[Record]:
        if domains != self.out_domains:
            self.out_domains = domains
            yield Record("domains_out", (("failure_domains", sorted(domains)),))

    def _register(self, endpoint: RegisteredEndpoint) -> Iterator[Record]:
        incarnation = endpoint.incarnation
        before = self._endpoint_by_incarnation.get(incarnation)
        self._lapsed_until.pop(incarnation, None)
        self._removed_at.pop(incarnation, None)
        if before is not None and _start_order(endpoint) < _start_order(before):
            fields = (("endpoint", incarnation), ("born_ms", endpoint.born_ms))
            yield Record("registration_refused", (*fields, ("newest_ms", before.born_ms)))
            return
        self._endpoint_by_incarnation[incarnation] = endpoint
        self._is_indexed = False
        is_new = before is None or before.born_ms != endpoint.born_ms
        if is_new or before.is_leaving != endpoint.is_leaving:
            yield Record(
                "endpoint_registered",
                (
                    ("endpoint", incarnation),
                    ("service", endpoint.service),
                    ("server", endpoint.server),
                    ("leaving", endpoint.is_leaving),
                    ("revision", endpoint.revision),
                ),
            )

    def _build_index(self) -> None:
        """Index endpoints by server address and by service.

        Only the newest registration at an address counts: the lease of a stopped server may still
        be valid when another server already uses its address.
        """
        if self._is_indexed:
            return
        self._is_indexed = True
        self._endpoints_by_service.clear()
        self._newest_by_server.clear()
        for endpoint in sorted(self._endpoint_by_incarnation.values(), key=_start_order):
            self._newest_by_server[endpoint.server] = endpoint
        for endpoint in self._newest_by_server.values():
            self._endpoints_by_service.setdefault(endpoint.service, []).append(endpoint)

    def _remove(self, incarnations: list[str], now: float) -> Iterator[Record]:
        known = [
            incarnation
            for incarnation in incarnations
            if incarnation in self._endpoint_by_incarnation
        ]
        for incarnation in known:
            self._removed_at[incarnation] = now
        for incarnation in known:
            wait_s = self._grace_s(incarnation, now)
            if wait_s:
                self._lapsed_until.setdefault(incarnation, now + wait_s)
                yield Record(
                    "endpoint_doubtful", (("endpoint", incarnation), ("wait_s", round(wait_s, 3)))
                )
            else:
                yield self._drop(incarnation, "registration ended", now)

    def _grace_s(self, incarnation: str, now: float) -> float:
        """Return how long to keep an endpoint after its registration ended, in seconds, or 0."""
        if self._endpoint_by_incarnation[incarnation].is_leaving:
            return 0.0
        if self._is_lost:
            return RENEWAL_GRACE_S
        if now < self._lost_at + RENEWAL_GRACE_S:
            return self._lost_at + RENEWAL_GRACE_S - now
        recent = [n for n, at in self._removed_at.items() if now - at < LAPSE_WINDOW_S]
        many = max(MASS_LAPSE_MIN, MASS_LAPSE_SHARE * len(self._endpoint_by_incarnation))
        return MASS_LAPSE_GRACE_S if len(recent) >= many else 0.0

    def _drop(self, incarnation: str, reason: str, now: float) -> Record:
        endpoint = self._endpoint_by_incarnation.pop(incarnation)
        self._is_indexed = False
        self._lapsed_until.pop(incarnation, None)
        self._removed_at = {
            n: at for n, at in self._removed_at.items() if now - at < LAPSE_WINDOW_S
        }
        return Record(
            "endpoint_gone",
            (("endpoint", incarnation), ("service", endpoint.service), ("reason", reason)),
        )


def _start_order(endpoint: RegisteredEndpoint) -> tuple[int, int]:
    """Return the sort key of registrations at one address or of one incarnation."""
    return endpoint.born_ms, endpoint.revision


def make_directory() -> Directory:
    """Return an empty directory."""
    return Directory()
