"""Availability: whether a guard takes new work.

It depends on the document in force, the list of VMs, and whether the daemon is stopping.
"""

from pollenroad.models import Endpoint, ServiceDocument

LEAVING = "leaving"
"""Refusal reason while the daemon is stopping or its VM is leaving."""

OUT_OF_SERVICE = "out-of-service"
"""Refusal reason at an endpoint that operators took out of service."""

NOT_HERE = "not-here"
"""Refusal reason where no document in force names this VM as an endpoint."""


class Availability:
    """Decides whether a guard takes new work, and states the reason if not."""

    def __init__(self, vm: str):
        self._vm = vm
        self._document: ServiceDocument | None = None
        self.endpoint: Endpoint | None = None
        """The endpoint of this guard's server in the document in force, or None."""
        self.is_stopping = False
        """Whether this daemon is stopping."""
        self.is_vm_leaving = False
        """Whether the platform lists this VM as leaving."""

    def configure(self, document: ServiceDocument) -> None:
        """Apply a newer document of the service."""
        self._document = document
        self.endpoint = next((e for e in document.endpoints if e.vm == self._vm), None)

    @property
    def reason(self) -> str:
        """Reason why no new work is taken, or an empty string."""
        if self.is_stopping or self.is_vm_leaving:
            return LEAVING
        if self.endpoint is None:
            return NOT_HERE
        out = self._document.out_of_service
        if self.endpoint.failure_domain in out.failure_domains or self._vm in out.vms:
            return OUT_OF_SERVICE
        return ""
