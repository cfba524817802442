"""Choice of an endpoint for an attempt, under load reports that are stale when read."""

import random
from dataclasses import dataclass

from pollenroad.messages import LoadReport
from pollenroad.models import Endpoint, ServiceDocument
from pollenroad.verdicts import Verdict


@dataclass(slots=True)
class _EndpointLoad:
    endpoint: Endpoint
    own_in_flight: int = 0


class Router:
    """What one entry knows of the endpoints of one service."""

    def __init__(self, document: ServiceDocument, failure_domain: str, rng: random.Random):
        self._failure_domain = failure_domain
        self._rng = rng
        self._load_by_name: dict[str, _EndpointLoad] = {}
        self.configure(document, 0.0)

    def configure(self, document: ServiceDocument, now: float) -> None:
        """Take a newer document; what is known of endpoints that remain is kept."""
        out = document.out_of_service
        self._document = document
        self._load_by_name = {
            e.name: self._load_by_name.get(e.name) or _EndpointLoad(e) for e in document.endpoints
        }
        self._usable = [
            load
            for load in self._load_by_name.values()
            if load.endpoint.failure_domain not in out.failure_domains
            and load.endpoint.vm not in out.vms
        ]

    def choose(self, tried: frozenset[str], now: float) -> Endpoint | None:
        """Choose an endpoint, one not in `tried` if possible, or None if none is usable."""
        candidates = [u for u in self._usable if u.endpoint.name not in tried] or self._usable
        if not candidates:
            return None
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda load: load.own_in_flight).endpoint

    def learn(self, report: LoadReport, now: float) -> None:
        """Take a load report of one endpoint."""

    def sent(self, name: str, now: float) -> None:
        """Count an attempt handed to the endpoint `name`."""
        self._load_by_name[name].own_in_flight += 1

    def ended(self, name: str, verdict: Verdict, latency_s: float, now: float) -> None:
        """Count an attempt that ended with `verdict` after `latency_s` seconds."""
        self.forget(name)

    def forget(self, name: str) -> None:
        """Count an attempt that ended without teaching anything."""
        load = self._load_by_name.get(name)
        if load is not None:
            load.own_in_flight -= 1


def make_router(
    document: ServiceDocument, failure_domain: str, rng: random.Random, now: float
) -> Router:
    """Make the router of one service for an entry in `failure_domain`."""
    return Router(document, failure_domain, rng)
