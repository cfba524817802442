"""Documents with the declarations of operators, as the platform publishes them.

The documents are frozen msgspec Structs: msgspec decodes them, checks types and bounds, rejects
unknown keys, and generates the JSON Schema from the same declaration. The key of a workspace
document is `WORKSPACE`, that of a service document `WORKSPACE/SERVICE`.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

END = r"$(?!\n)"
"""Pattern for the end of a string. `$` alone also matches before a trailing line feed."""

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}" + END)]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}" + END)]
"""IP address and port, such as `10.0.0.7:7100`."""

Positive = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Milliseconds = Annotated[float, Meta(gt=0, le=600_000)]

Routing = Literal["least-time", "random", "round-robin", "least-in-flight", "two-choices"]
"""Names of the routing policies in `pollenroad.entry.routing`."""


class Declared(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of everything that operators declare."""


class RequestClass(Declared):
    """Rules for one class of requests."""

    name: Name
    worth: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    """Stated worth of one served request, relative to the other classes."""
    idempotent: bool = False
    """Whether a request of this class may run more than once without harm."""
    deadline_ms: Milliseconds = 1000.0
    """Default and maximum of the time that a caller allows for the whole call, in milliseconds."""
    max_attempts: Annotated[int, Meta(ge=1, le=5)] = 3
    hedge: bool = False
    """Whether a slow attempt may be hedged by a second one. Requires `idempotent`."""
    guaranteed_share: Share = 0.0
    """Share of an endpoint's slots guaranteed to this class under overload, whatever its worth."""


class ColdStart(Declared):
    """Limits on the load of a server after it starts."""

    bound: Positive = 2
    """Requests in flight that a cold server can handle."""
    cold_s: Seconds = 5.0
    """Time of steady service in which a server is cold and gets at most `bound`, in seconds."""
    ramp_s: Seconds = 10.0
    """Further time of steady service in which the bound rises to all slots, in seconds."""
    idle_s: Seconds = 0.0
    """Time without a request after which a server counts as cold, in seconds; 0 means never."""


class MeasuringBudget(Declared):
    """Limits on the cost of measuring the load of a service, over all daemons together."""

    messages_per_s: Annotated[float, Meta(ge=0)] = 50.0
    """Load reports and probes per second."""
    server_ms_per_s: Annotated[float, Meta(ge=0)] = 0.0
    """Server time spent on probes, in milliseconds per second; 0 disables probes."""
    probe_cost_ms: Annotated[float, Meta(ge=0)] = 0.0
    """Server time of one probe, in milliseconds; 0 means that the server supports no probes."""


class RetryRules(Declared):
    """Limits on attempts after the first."""

    budget_ratio: Share = 0.1
    """Maximum retries as a share of first attempts."""
    hedge_ratio: Share = 0.05
    """Maximum hedges as a share of first attempts."""
    min_per_s: Annotated[float, Meta(ge=0)] = 1.0
    """Retries per second that an entry may always make, so that low-traffic services can retry."""


class CustomerLimit(Declared):
    """Limits of one customer in a workspace."""

    name: Name
    rate_per_s: Annotated[float, Meta(gt=0)]
    concurrency: Positive


class Endpoint(Declared):
    """One server and the daemon beside it on the same VM."""

    name: Name
    vm: Name
    failure_domain: Name
    address: Address
    """Peer address of the daemon beside the server."""


class OutOfService(Declared):
    """Failure domains and VMs that operators have taken out of service."""

    failure_domains: tuple[Name, ...] = ()
    vms: tuple[Name, ...] = ()


class ServiceRules(Declared, kw_only=True):
    """Rules for all servers of a service, as stated by a template and carried by a document."""

    slots: Positive
    """Requests that one warm server processes at once."""
    connections: Positive
    """Maximum number of connections to one server."""
    classes: tuple[RequestClass, ...]
    """Request classes that the service accepts."""
    default_class: Name
    """Class of a request that does not state one."""
    cold_start: ColdStart = ColdStart()
    measuring: MeasuringBudget = MeasuringBudget()
    retries: RetryRules = RetryRules()
    drain_s: Seconds = 30.0
    """Longest time that a stopping daemon waits for requests in flight, in seconds."""
    routing: Routing = "least-time"
    """Policy by which entries select an endpoint; all but `least-time` serve for comparison."""
    subset_size: Positive = 20
    """Number of endpoints over which one entry distributes its calls."""
    max_body_bytes: Annotated[int, Meta(ge=0, le=8_388_608)] = 1_048_576
    """Maximum size of a request body, in bytes."""
    peak_in_flight: Annotated[int, Meta(ge=0)] = 0
    """Requests in flight at the usual peak, over all endpoints; 0 if unknown.

    Used only to warn that a change leaves too little capacity; no decision depends on it.
    """


class ServiceDocument(ServiceRules, kw_only=True, tag_field="kind", tag="service"):
    """One service, rendered from its template and the parameters of its workspace."""

    workspace: Name
    service: Name
    version: Positive
    endpoints: tuple[Endpoint, ...]
    out_of_service: OutOfService = OutOfService()

    @property
    def key(self) -> str:
        """Key of the document: `WORKSPACE/SERVICE`."""
        return f"{self.workspace}/{self.service}"


class WorkspaceDocument(Declared, tag_field="kind", tag="workspace"):
    """The customers of a workspace and their limits."""

    workspace: Name
    version: Positive
    customers: tuple[CustomerLimit, ...] = ()
    default_rate_per_s: Annotated[float, Meta(gt=0)] = 100.0
    default_concurrency: Positive = 50
    limit_owners: tuple[Address, ...] = ()
    """Peer addresses from which the owners of each customer's limit are selected."""

    @property
    def key(self) -> str:
        """Key of the document: `WORKSPACE`."""
        return self.workspace


Document = ServiceDocument | WorkspaceDocument


class VmState(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the platform's list of VMs."""

    name: str
    address: str
    """Peer address of the daemon on the VM."""
    failure_domain: str
    state: str = "live"
    """`live` or `leaving`."""
