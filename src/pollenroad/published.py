"""What operators declare for transparent HTTP, and what endpoints say of themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix, and how they are treated."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    shares: tuple[Share, ...]
    idempotent: bool
    """Whether a request may run more than once without harm."""
    timeout_s: float
    """Longest time until the caller has an answer, in seconds."""
    objective_s: float
    """Latency objective in seconds."""
    max_attempts: int
    """Endpoints to which one request may be sent, at the most."""
    priority: int
    """Rank under overload; 0 is the highest."""


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """What holds for every endpoint of one service."""

    name: str
    health_path: str
    connections: int
    """Connections that one endpoint accepts, from all callers together."""
    cold_s: float
    """Time after its start in which an endpoint is cold, in seconds."""
    cold_per_s: float
    """Requests a second that a cold endpoint bears; 0 for no bound."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 8_388_608
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that operators declare."""

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: Mapping[str, ServiceRules] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class RegisteredEndpoint:
    """One incarnation of a server, as it registered itself."""

    incarnation: str
    """Identity of this start of the server; names it among all endpoints."""
    service: str
    server: str
    """Address of the server itself, which only its own VM reaches."""
    guard: str
    """Peer address of the daemon beside the server."""
    failure_domain: str
    slots: int
    is_leaving: bool = False
    cold_s: float = 0.0
    """How much longer the server is cold, in seconds, as of its registration."""
    revision: int = 0
    """Revision of the registration."""
    born_ms: int = 0
    """Wall clock of this start, in milliseconds; 0 if not stated. A server may start again under
    its incarnation's name, and the latest start at an address counts."""


@dataclass(frozen=True, slots=True)
class DomainOut:
    """Operators took a failure domain out of service, or back into it."""

    failure_domain: str
    is_out: bool
