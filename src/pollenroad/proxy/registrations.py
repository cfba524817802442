"""Registrations of endpoints, and which of them are in use while the platform is in doubt.

Registrations that end together, or soon after the platform was unavailable, may be leases that
expired because servers could not renew them. Such endpoints are kept as lapsed for up to
`RENEWAL_GRACE_S`, in which a running server registers again. A platform that came back from a copy
holds registrations again that had ended; such an endpoint is not used until it registers anew, or
has outlived its lease.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from pollenroad.boundary import Record
from pollenroad.proxy.boundary import EndpointRemoved
from pollenroad.published import RegisteredEndpoint

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

LEASE_S = 6.0
"""Time in which the lease of a server that has stopped runs out, in seconds: three heartbeats of
1.5 s, and a margin."""

REMEMBERED_S = 60.0
"""Time for which an ended registration is remembered, in seconds: more than a copy of the platform
is old when it comes back."""


@dataclass(slots=True)
class Outage:
    """When the platform could not be read, or lost what it had acknowledged."""

    is_lost: bool = False
    last_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _Ended:
    """A registration that ended."""

    endpoint: RegisteredEndpoint
    epoch: int
    """Epoch of the platform in which it ended."""
    at: float


class Registrations:
    """All known endpoints, by incarnation, service and address."""

    def __init__(self, outage: Outage):
        self.epoch = 0
        """Epoch of the platform, by its last complete contents."""
        self._outage = outage
        self._declared_services: frozenset[str] | None = None
        self._endpoint_by_incarnation: dict[str, RegisteredEndpoint] = {}
        self._endpoints_by_service: dict[str, list[RegisteredEndpoint]] = {}
        self._newest_by_server: dict[str, RegisteredEndpoint] = {}
        self._is_indexed = True
        self._lapsed_until: dict[str, float] = {}
        self._removed_at: dict[str, float] = {}
        self._ended_by_incarnation: dict[str, _Ended] = {}
        self._doubted_by_incarnation: dict[str, RegisteredEndpoint] = {}
        self._doubted_until: dict[str, float] = {}

    # --- Queries ---

    def of_service(self, service: str) -> list[RegisteredEndpoint]:
        """Return the endpoints of a service, including lapsed ones."""
        self._build_index()
        return self._endpoints_by_service.get(service, [])

    def all(self) -> Iterator[RegisteredEndpoint]:
        """Yield every endpoint in use, including those that are leaving."""
        yield from self._endpoint_by_incarnation.values()

    def newest_at(self, server: str) -> RegisteredEndpoint | None:
        """Return the endpoint that registered last at a server's address, or None."""
        self._build_index()
        return self._newest_by_server.get(server)

    def is_lapsed(self, incarnation: str) -> bool:
        """Return whether an endpoint's lease expired and the endpoint has not registered again."""
        return incarnation in self._lapsed_until

    def next_due(self) -> float | None:
        """Return when `expire` is next needed, in monotonic seconds."""
        if not self._lapsed_until and not self._doubted_until:
            return None
        return min((*self._lapsed_until.values(), *self._doubted_until.values()))

    # --- Updates ---

    def declare(self, services: frozenset[str]) -> None:
        """Set the names of the services that have endpoints; others are kept, but not used."""
        self._declared_services = services
        self._is_indexed = False

    def replace_all(
        self, endpoint_by_incarnation: Mapping[str, RegisteredEndpoint], now: float
    ) -> Iterator[Record]:
        """Apply the complete contents of the platform."""
        known = (*self._endpoint_by_incarnation, *self._doubted_by_incarnation)
        ended = [EndpointRemoved(n) for n in known if n not in endpoint_by_incarnation]
        yield from self.apply(ended, now)
        for endpoint in endpoint_by_incarnation.values():
            if self._is_restored(endpoint):
                yield from self._doubt(endpoint, now)
            else:
                yield from self.register(endpoint)

    def register(self, endpoint: RegisteredEndpoint) -> Iterator[Record]:
        """Apply a registration that an endpoint has just written."""
        incarnation = endpoint.incarnation
        before = self._endpoint_by_incarnation.get(incarnation)
        if before is not None and _start_order(endpoint) < _start_order(before):
            yield _refused(endpoint, before)
            if endpoint.is_leaving and _was_written_later(endpoint, before):
                # Its clock may have jumped back since the start before; if not, the other start
                # writes again at its next heartbeat.
                yield from self._set_leaving(before)
            return
        self._forget_doubts(incarnation)
        if before is not None and _is_copy_of_leaving(endpoint, before):
            endpoint = replace(endpoint, is_leaving=True)
        self._endpoint_by_incarnation[incarnation] = endpoint
        self._is_indexed = False
        is_new = before is None or before.born_ms != endpoint.born_ms
        if is_new or before.is_leaving != endpoint.is_leaving:
            yield _registered(endpoint)

    def _set_leaving(self, endpoint: RegisteredEndpoint) -> Iterator[Record]:
        """Use an endpoint no longer, as another start under its id says that it leaves."""
        if not endpoint.is_leaving:
            endpoint = replace(endpoint, is_leaving=True)
            self._endpoint_by_incarnation[endpoint.incarnation] = endpoint
            self._is_indexed = False
            yield _registered(endpoint)

    def apply(
        self, changes: Sequence[RegisteredEndpoint | EndpointRemoved], now: float
    ) -> Iterator[Record]:
        """Apply the changes of one update, in order.

        The registrations that have ended after it count as ended together, see `_grace_s`.
        """
        last_by_incarnation = {change.incarnation: change for change in changes}
        for incarnation, last in last_by_incarnation.items():
            if isinstance(last, EndpointRemoved) and incarnation in self._endpoint_by_incarnation:
                self._removed_at[incarnation] = now
        for change in changes:
            match change:
                case RegisteredEndpoint():
                    yield from self.register(change)
                case EndpointRemoved(incarnation):
                    yield from self._remove(incarnation, now)

    def _remove(self, incarnation: str, now: float) -> Iterator[Record]:
        """Apply the end of a registration; one that may have lapsed stays in use for a while."""
        self._doubted_by_incarnation.pop(incarnation, None)
        self._doubted_until.pop(incarnation, None)
        if incarnation not in self._endpoint_by_incarnation:
            return
        self._removed_at[incarnation] = now
        wait_s = self._grace_s(incarnation, now)
        if not wait_s:
            yield self._drop(incarnation, "registration ended", now)
            return
        self._lapsed_until.setdefault(incarnation, now + wait_s)
        yield Record("endpoint_doubtful", (("endpoint", incarnation), ("wait_s", round(wait_s, 3))))

    def expire(self, now: float) -> Iterator[Record]:
        """Drop lapsed endpoints that did not register again, and use doubted ones that remained."""
        if not self._lapsed_until and not self._doubted_until:
            return
        for incarnation in [n for n, until in self._lapsed_until.items() if until <= now]:
            reason = "not registered again after the lease expired"
            yield self._drop(incarnation, reason, now)
        for incarnation in [n for n, until in self._doubted_until.items() if until <= now]:
            yield from self.register(self._doubted_by_incarnation[incarnation])

    def regained(self, now: float) -> None:
        """Start the waits anew, once the platform is reachable again."""
        self._lapsed_until = dict.fromkeys(self._lapsed_until, now + RENEWAL_GRACE_S)
        self._doubted_until = dict.fromkeys(self._doubted_until, now + LEASE_S)

    # --- Doubts ---

    def _is_restored(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether this may be a registration that had ended before the platform came back.

        The same start of a server may also have registered anew since; then it will still be
        registered when its old lease has run out, or writes again before that.
        """
        ended = self._ended_by_incarnation.get(endpoint.incarnation)
        if ended is None or endpoint.incarnation in self._endpoint_by_incarnation:
            return False
        return endpoint.born_ms <= ended.endpoint.born_ms and self.epoch > ended.epoch

    def _doubt(self, endpoint: RegisteredEndpoint, now: float) -> Iterator[Record]:
        incarnation = endpoint.incarnation
        ended = self._ended_by_incarnation[incarnation].endpoint
        if ended.is_leaving:
            yield _refused(endpoint, ended)
            return
        before = self._doubted_by_incarnation.get(incarnation)
        self._doubted_by_incarnation[incarnation] = endpoint
        if before is None or before.epoch < endpoint.epoch:
            until = max(now, self._outage.last_at + LEASE_S)
            self._doubted_until[incarnation] = until
            fields = (("endpoint", incarnation), ("wait_s", round(until - now, 3)))
            yield Record("endpoint_doubtful", (*fields, ("restored", True)))

    def _forget_doubts(self, incarnation: str) -> None:
        self._lapsed_until.pop(incarnation, None)
        self._removed_at.pop(incarnation, None)
        self._ended_by_incarnation.pop(incarnation, None)
        self._doubted_by_incarnation.pop(incarnation, None)
        self._doubted_until.pop(incarnation, None)

    def _grace_s(self, incarnation: str, now: float) -> float:
        """Return how long to keep an endpoint after its registration ended, in seconds, or 0."""
        if self._endpoint_by_incarnation[incarnation].is_leaving:
            return 0.0
        if self._outage.is_lost:
            return RENEWAL_GRACE_S
        if now < self._outage.last_at + RENEWAL_GRACE_S:
            return self._outage.last_at + RENEWAL_GRACE_S - now
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
        self._ended_by_incarnation = {
            n: ended
            for n, ended in self._ended_by_incarnation.items()
            if now - ended.at < REMEMBERED_S
        }
        self._ended_by_incarnation[incarnation] = _Ended(endpoint, self.epoch, now)
        return Record(
            "endpoint_gone",
            (("endpoint", incarnation), ("service", endpoint.service), ("reason", reason)),
        )

    def _build_index(self) -> None:
        """Index endpoints by server address and by service.

        Only the newest registration at an address counts: the lease of a stopped server may still
        be valid when another server already uses its address. One of a service that is not declared
        names no server, and does not count against another one at its address.
        """
        if self._is_indexed:
            return
        self._is_indexed = True
        self._endpoints_by_service.clear()
        self._newest_by_server.clear()
        declared = self._declared_services
        known = self._endpoint_by_incarnation.values()
        candidates = (e for e in known if declared is None or e.service in declared)
        for endpoint in sorted(candidates, key=_start_order):
            self._newest_by_server[endpoint.server] = endpoint
        for endpoint in self._newest_by_server.values():
            self._endpoints_by_service.setdefault(endpoint.service, []).append(endpoint)


def _start_order(endpoint: RegisteredEndpoint) -> tuple[int, int, int]:
    """Return the sort key of registrations at one address or of one incarnation."""
    return endpoint.born_ms, endpoint.epoch, endpoint.revision


def _was_written_later(endpoint: RegisteredEndpoint, before: RegisteredEndpoint) -> bool:
    """Return whether a registration was written after another one, whatever their starts state."""
    return (endpoint.epoch, endpoint.revision) > (before.epoch, before.revision)


def _is_copy_of_leaving(endpoint: RegisteredEndpoint, before: RegisteredEndpoint) -> bool:
    """Return whether a registration is older than one that says that the same start leaves."""
    is_same_start = endpoint.born_ms == before.born_ms
    return before.is_leaving and is_same_start and endpoint.epoch > before.epoch


def _registered(endpoint: RegisteredEndpoint) -> Record:
    fields = (
        ("endpoint", endpoint.incarnation),
        ("service", endpoint.service),
        ("server", endpoint.server),
        ("leaving", endpoint.is_leaving),
        ("revision", endpoint.revision),
    )
    return Record("endpoint_registered", fields)


def _refused(endpoint: RegisteredEndpoint, newest: RegisteredEndpoint) -> Record:
    fields = (("endpoint", endpoint.incarnation), ("born_ms", endpoint.born_ms))
    return Record("registration_refused", (*fields, ("newest_ms", newest.born_ms)))
