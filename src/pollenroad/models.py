"""What operators declare, as the documents that the platform publishes.

The documents are frozen msgspec Structs: the library decodes, checks types and bounds, refuses
unknown keys and prints a JSON Schema from the same declaration. A key is `WORKSPACE` for a
workspace document and `WORKSPACE/SERVICE` for a service document.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

END = r"$(?!\n)"
"""End of a text in a pattern: in Python, `$` alone also matches before a line feed at the end."""

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}" + END)]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}" + END)]
"""IP number and port, such as `10.0.0.7:7100`."""

Positive = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Milliseconds = Annotated[float, Meta(gt=0, le=600_000)]

Routing = Literal["least-time", "random", "round-robin", "least-in-flight", "two-choices"]
"""Names of the policies in `pollenroad.entry.routing`."""


class Declared(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of everything that operators declare."""


class RequestClass(Declared):
    """Requests that are treated alike."""

    name: Name
    worth: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    """Stated worth of one served request, against the other classes."""
    idempotent: bool = False
    """Whether a request of this class may run more than once without harm."""
    deadline_ms: Milliseconds = 1000.0
    """Time for the whole call where the caller states none, and the longest it may state."""
    max_attempts: Annotated[int, Meta(ge=1, le=5)] = 3
    hedge: bool = False
    """Whether a late attempt may be raced by a second one. Needs `idempotent`."""
    guaranteed_share: Share = 0.0
    """Share of an endpoint's slots that this class gets under overload, whatever its worth."""


class ColdStart(Declared):
    """What a server bears after it starts."""

    bound: Positive = 2
    """Requests in flight that a cold server bears."""
    cold_s: Seconds = 5.0
    """Time in service for which a server stays cold and gets no more than `bound`."""
    ramp_s: Seconds = 10.0
    """Time after that in which the bound grows from `bound` to all slots."""
    idle_s: Seconds = 0.0
    """A server without a request for this long counts as cold; 0 means never."""


class MeasuringBudget(Declared):
    """What measuring the load of a service may cost, over all daemons together."""

    messages_per_s: Annotated[float, Meta(ge=0)] = 50.0
    """Load reports and probes a second."""
    server_ms_per_s: Annotated[float, Meta(ge=0)] = 0.0
    """Server time spent on probes, in milliseconds a second; 0 forbids probes."""
    probe_cost_ms: Annotated[float, Meta(ge=0)] = 0.0
    """Server time of one probe in milliseconds; 0 means that the server offers no probe."""


class RetryRules(Declared):
    """Bounds on attempts beyond the first."""

    budget_ratio: Share = 0.1
    """Retries allowed as a share of first attempts."""
    hedge_ratio: Share = 0.05
    """Hedges allowed as a share of first attempts."""
    min_per_s: Annotated[float, Meta(ge=0)] = 1.0
    """Retries a second that an entry may always make, so that quiet services can retry."""


class CustomerLimit(Declared):
    """How much a customer may ask of a workspace."""

    name: Name
    rate_per_s: Annotated[float, Meta(gt=0)]
    concurrency: Positive


class Endpoint(Declared):
    """One server, with the daemon beside it on the same VM."""

    name: Name
    vm: Name
    failure_domain: Name
    address: Address
    """Peer address of the daemon beside the server."""


class OutOfService(Declared):
    """What operators have taken out of service."""

    failure_domains: tuple[Name, ...] = ()
    vms: tuple[Name, ...] = ()


class ServiceRules(Declared, kw_only=True):
    """What holds for every server of one kind: a template states it, a document carries it."""

    slots: Positive
    """Requests that one warm server works on at once."""
    connections: Positive
    """Connections that one server holds."""
    classes: tuple[RequestClass, ...]
    """Kinds of requests that the service takes."""
    default_class: Name
    """Class of a request that states none."""
    cold_start: ColdStart = ColdStart()
    measuring: MeasuringBudget = MeasuringBudget()
    retries: RetryRules = RetryRules()
    drain_s: Seconds = 30.0
    """Longest time that a stopping daemon waits for requests in flight."""
    routing: Routing = "least-time"
    """How entries choose an endpoint; all but `least-time` are there to compare with."""
    subset_size: Positive = 20
    """Endpoints that one entry spreads its calls over."""
    max_body_bytes: Annotated[int, Meta(ge=0, le=8_388_608)] = 1_048_576
    """Longest body of a request."""
    peak_in_flight: Annotated[int, Meta(ge=0)] = 0
    """Requests in flight at the usual peak, all endpoints together; 0 where it is not known.

    Only for the warning that a change leaves too little capacity; no decision rests on it.
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
    """Peer addresses among which the owners of each customer's limit are chosen."""

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
