"""Configuration of the transparent proxy and registrations of endpoints, read from the platform."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Share:
    """Portion of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests to one host below one path prefix."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    shares: tuple[Share, ...]
    idempotent: bool
    """Whether a request may run more than once without harm."""
    timeout_s: float
    """Maximum time until the caller receives an answer, in seconds."""
    objective_s: float
    """Latency objective in seconds."""
    max_attempts: int
    """Maximum number of endpoints to which one request may be sent."""
    priority: int
    """Priority under overload; 0 is the highest."""
    is_public: bool = False
    """Whether requests need no key, if the configuration has workspaces."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the platform, whose requests carry one of its keys."""

    name: str
    priority: int | None = None
    """Priority under overload, before that of the route; None for that of the route."""
    rate_per_s: float = 0.0
    """Requests per second, over all daemons together; 0 for no limit."""
    burst: float = 0.0
    """Requests beyond the rate that may arrive at once."""


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Rules for all endpoints of one service."""

    name: str
    health_path: str
    connections: int
    """Maximum number of connections to one endpoint, over all callers."""
    cold_s: float
    """Time after its start for which an endpoint is cold, in seconds."""
    cold_per_s: float
    """Requests per second that a cold endpoint can handle; 0 for no limit."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 8_388_608
    header_timeout_s: float = 3.0
    """Time without a further byte after which an incomplete request is refused, in seconds."""
    idle_timeout_s: float = 60.0
    """Time without a request after which a caller's connection is closed, in seconds."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the whole configuration that operators declare."""

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: Mapping[str, ServiceRules] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    workspace_by_key: Mapping[bytes, Workspace] = field(default_factory=dict)
    """Workspaces by the digest of each of their keys; see `pollenroad.proxy.workspaces.keys`."""
    has_workspaces: bool = False
    """Whether requests need a key; also true with a table of workspaces that is empty."""


@dataclass(frozen=True, slots=True)
class RegisteredEndpoint:
    """Registration of one incarnation of a server."""

    incarnation: str
    """Id under which the server registered; usually new with each start, see `born_ms`."""
    service: str
    server: str
    """Address of the server itself, reachable only from its own VM."""
    guard: str
    """Peer address of the daemon beside the server."""
    failure_domain: str
    slots: int
    is_leaving: bool = False
    cold_s: float = 0.0
    """Remaining time for which the server is cold, as of its registration, in seconds."""
    revision: int = 0
    """Revision of the registration."""
    born_ms: int = 0
    """Wall clock time of this start, in milliseconds since the epoch; 0 if not stated. A server may
    restart under the same incarnation; of several starts at one address, the latest is used."""
    epoch: int = 0
    """Epoch of the platform in which it was read; see `pollenroad.proxy.boundary.Position`."""


@dataclass(frozen=True, slots=True)
class DomainOut:
    """Whether operators have taken a failure domain out of service."""

    failure_domain: str
    is_out: bool
