"""Small valid documents that tests change."""

from pollenroad.models import (
    ColdStart,
    CustomerLimit,
    Endpoint,
    MeasuringBudget,
    RequestClass,
    ServiceDocument,
    WorkspaceDocument,
)

DOMAINS = ("ne-east-a", "ne-east-b", "ne-east-c")


def make_endpoint(number: int) -> Endpoint:
    return Endpoint(
        name=f"registry-{number}",
        vm=f"vm-{number}",
        failure_domain=DOMAINS[(number - 1) % 3],
        address=f"127.0.1.{number}:7100",
    )


def make_service(**changes) -> ServiceDocument:
    values = {
        "workspace": "merrimack",
        "service": "registry",
        "version": 1,
        "slots": 20,
        "connections": 200,
        "classes": (
            RequestClass(name="lookup", idempotent=True, worth=2.0),
            RequestClass(name="assign", worth=10.0, guaranteed_share=0.4),
        ),
        "default_class": "lookup",
        "endpoints": tuple(make_endpoint(n) for n in range(1, 6)),
        "cold_start": ColdStart(bound=2, ramp_s=10.0, idle_s=30.0),
        "measuring": MeasuringBudget(server_ms_per_s=60.0, probe_cost_ms=6.0),
    }
    return ServiceDocument(**(values | changes))


def make_workspace(**changes) -> WorkspaceDocument:
    values = {
        "workspace": "merrimack",
        "version": 1,
        "customers": (
            CustomerLimit(name="charles-river", rate_per_s=20.0, concurrency=10),
            CustomerLimit(name="housatonic", rate_per_s=5.0, concurrency=4),
        ),
        "limit_owners": ("127.0.1.1:7100", "127.0.1.2:7100"),
    }
    return WorkspaceDocument(**(values | changes))
