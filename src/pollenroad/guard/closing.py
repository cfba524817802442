"""Whether a guard takes new work, by the documents, the list of VMs and its own stop."""

from pollenroad.models import Endpoint, ServiceDocument

LEAVING = "leaving"
"""Reason of refusals by a daemon that stops or whose VM leaves."""

OUT_OF_SERVICE = "out-of-service"
"""Reason of refusals at an endpoint that operators took out of service."""

NOT_HERE = "not-here"
"""Reason of refusals where no document in force names this VM as an endpoint."""


class Closing:
    """Why a guard takes no new work, if so."""

    def __init__(self, vm: str):
        self._vm = vm
        self._document: ServiceDocument | None = None
        self.endpoint: Endpoint | None = None
        """The endpoint beside this guard by the document in force."""
        self.stopping = False
        """Whether this daemon is to stop."""
        self.vm_leaving = False
        """Whether the platform lists this VM as leaving."""

    def configure(self, document: ServiceDocument) -> None:
        """Take a newer document of the service."""
        self._document = document
        self.endpoint = next((e for e in document.endpoints if e.vm == self._vm), None)

    @property
    def reason(self) -> str:
        """Reason for which there is no new work, or an empty string."""
        if self.stopping or self.vm_leaving:
            return LEAVING
        if self.endpoint is None:
            return NOT_HERE
        out = self._document.out_of_service
        if self.endpoint.failure_domain in out.failure_domains or self._vm in out.vms:
            return OUT_OF_SERVICE
        return ""
