"""Tests of the semantic checks of documents that a daemon runs before it accepts one."""

import unittest
from dataclasses import dataclass

import msgspec
from msgspec.structs import replace

from pollenroad.declarations.checks import check_document
from pollenroad.models import ColdStart, MeasuringBudget, OutOfService, RequestClass
from tests.documents import make_endpoint, make_service, make_workspace


@dataclass(frozen=True)
class Broken:
    document: msgspec.Struct
    path: str
    reason: str


def _with_endpoint(**changes) -> msgspec.Struct:
    return make_service(endpoints=(make_endpoint(1), replace(make_endpoint(2), **changes)))


def _with_class(**values) -> msgspec.Struct:
    classes = (RequestClass(name="lookup"), RequestClass(name="other", **values))
    return make_service(classes=classes)


def _with_measuring(**values) -> msgspec.Struct:
    return make_service(measuring=MeasuringBudget(**values))


BROKEN = (
    Broken(make_service(endpoints=()), "$.endpoints", "without endpoints"),
    Broken(_with_endpoint(name="registry-1"), "$.endpoints[1].name", "used twice"),
    Broken(_with_endpoint(vm="vm-1"), "$.endpoints[1].vm", "used twice"),
    Broken(_with_endpoint(address="127.0.1.1:7100"), "$.endpoints[1].address", "used twice"),
    Broken(_with_endpoint(address="10.0.0.7:70000"), "$.endpoints[1].address", "not in 1 to"),
    Broken(_with_endpoint(address="10.0.0.777:7100"), "$.endpoints[1].address", "IP number"),
    Broken(_with_endpoint(address="fd00::7:7100"), "$.endpoints[1].address", "brackets"),
    Broken(_with_endpoint(address="0.0.0.0:7100"), "$.endpoints[1].address", "one VM"),
    Broken(_with_class(hedge=True), "$.classes[1].hedge", "not idempotent"),
    Broken(
        _with_class(hedge=True, idempotent=True, max_attempts=1),
        "$.classes[1].hedge",
        "second attempt",
    ),
    Broken(_with_class(deadline_ms=31_000.0), "$.classes[1].deadline_ms", "cut off requests"),
    Broken(
        make_service(classes=(RequestClass(name="lookup"),) * 2), "$.classes[1].name", "used twice"
    ),
    Broken(make_service(default_class="look-up"), "$.default_class", "not declared"),
    Broken(
        make_service(
            classes=(
                RequestClass(name="lookup", guaranteed_share=0.7),
                RequestClass(name="assign", guaranteed_share=0.4),
            )
        ),
        "$.classes",
        "add up to 1.1",
    ),
    Broken(make_service(connections=19), "$.connections", "cannot carry"),
    Broken(make_service(cold_start=ColdStart(bound=21)), "$.cold_start.bound", "above the 20"),
    Broken(_with_measuring(server_ms_per_s=6.0), "$.measuring.server_ms_per_s", "offer none"),
    Broken(
        _with_measuring(server_ms_per_s=5.0, probe_cost_ms=6.0),
        "$.measuring.server_ms_per_s",
        "does not fit",
    ),
    Broken(
        _with_measuring(server_ms_per_s=1e6, probe_cost_ms=6.0),
        "$.measuring.server_ms_per_s",
        "together have only",
    ),
    Broken(
        make_service(out_of_service=OutOfService(failure_domains=("ne-east-d",))),
        "$.out_of_service.failure_domains[0]",
        "holds no endpoint",
    ),
    Broken(
        make_service(out_of_service=OutOfService(vms=("vm-1", "vm-1"))),
        "$.out_of_service.vms[1]",
        "used twice",
    ),
    Broken(
        make_workspace(customers=make_workspace().customers[:1] * 2),
        "$.customers[1].name",
        "used twice",
    ),
    Broken(make_workspace(limit_owners=("10.0.0.1:0",)), "$.limit_owners[0]", "port 0"),
    Broken(make_workspace(limit_owners=("10.0.0.1:1",) * 90_000), "$", "platform holds"),
)


class CheckDocumentTest(unittest.TestCase):
    def test_valid_documents_have_no_problem(self):
        self.assertEqual(check_document(make_service()), [])
        self.assertEqual(check_document(make_workspace()), [])

    def test_each_fault_is_named_with_path_and_reason(self):
        for broken in BROKEN:
            with self.subTest(path=broken.path, reason=broken.reason):
                found = check_document(broken.document)
                matching = [p for p in found if p.path == broken.path and broken.reason in p.reason]
                self.assertTrue(matching, found)
                self.assertTrue(all(p.hint for p in found))

    def test_every_fault_is_found_not_only_the_first(self):
        faults = {"connections": 1, "default_class": "none", "endpoints": ()}
        paths = {p.path for p in check_document(make_service(**faults))}
        self.assertEqual(paths, {"$.endpoints", "$.default_class", "$.connections"})
