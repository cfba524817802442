"""What the directory says of the server on this VM. No I/O."""

from pollenroad.guard.closing import LEAVING, NOT_HERE, OUT_OF_SERVICE
from pollenroad.proxy.directory import Directory
from pollenroad.published import RegisteredEndpoint, ServiceRules

DEFAULT_SLOTS = 8
"""Slots of a server that has not registered yet."""


class LocalServer:
    """The server beside a guard, as registered and declared."""

    def __init__(self, address: str, service: str, directory: Directory):
        self.address = address
        self.service = service
        self._directory = directory
        self._start_seen = ("", 0)

    @property
    def is_known(self) -> bool:
        """Whether the directory has been read."""
        return self._directory.configuration is not None

    @property
    def endpoint(self) -> RegisteredEndpoint | None:
        """The endpoint on this VM, if it has registered."""
        return self._directory.at_server(self.address)

    @property
    def incarnation(self) -> str:
        """Its incarnation, or an empty string."""
        endpoint = self.endpoint
        return endpoint.incarnation if endpoint else ""

    @property
    def rules(self) -> ServiceRules | None:
        """What is declared for its service, if anything is known."""
        configuration = self._directory.configuration
        return configuration.service_by_name.get(self.service) if configuration else None

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""
        endpoint = self.endpoint
        return endpoint.slots if endpoint and endpoint.slots > 0 else DEFAULT_SLOTS

    def closed_reason(self) -> str:
        """Return why it gets no new work, or an empty string; attempts wait until that is known."""
        endpoint = self.endpoint
        if not self.is_known:
            return ""
        if endpoint is None:
            return NOT_HERE
        if endpoint.is_leaving:
            return LEAVING
        if endpoint.failure_domain in self._directory.out_domains:
            return OUT_OF_SERVICE
        return ""

    def new_start(self) -> RegisteredEndpoint | None:
        """Return the endpoint if it has started since this was last asked, or None."""
        endpoint = self.endpoint
        if endpoint is None or (endpoint.incarnation, endpoint.born_ms) == self._start_seen:
            return None
        self._start_seen = (endpoint.incarnation, endpoint.born_ms)
        return endpoint
