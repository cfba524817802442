"""The server on this VM, as the directory describes it."""

from pollenroad.guard.availability import LEAVING, NOT_HERE, OUT_OF_SERVICE
from pollenroad.messages import Attempt
from pollenroad.proxy.directory import Directory
from pollenroad.published import RegisteredEndpoint, ServiceRules

DEFAULT_SLOTS = 8
"""Slots assumed for a server that has not registered yet."""


class LocalServer:
    """The server on the VM of a guard, by its registration and its service's declaration."""

    def __init__(self, address: str, service: str, directory: Directory):
        self.address = address
        self.service = service
        self._directory = directory
        self._last_start = ("", 0)

    @property
    def is_loaded(self) -> bool:
        """Whether the directory has been read."""
        return self._directory.configuration is not None

    @property
    def endpoint(self) -> RegisteredEndpoint | None:
        """The endpoint on this VM, if it has registered."""
        return self._directory.endpoint_at(self.address)

    @property
    def incarnation(self) -> str:
        """Incarnation of the endpoint, or an empty string."""
        endpoint = self.endpoint
        return endpoint.incarnation if endpoint else ""

    @property
    def rules(self) -> ServiceRules | None:
        """Declared rules of its service, or None if there are none."""
        configuration = self._directory.configuration
        return configuration.service_by_name.get(self.service) if configuration else None

    @property
    def cold_per_s(self) -> float:
        """Requests a second that the server can handle while it is cold; 0 for no limit."""
        return self.rules.cold_per_s if self.rules else 0.0

    @property
    def slots(self) -> int:
        """Number of requests that the server runs at once."""
        endpoint = self.endpoint
        return endpoint.slots if endpoint and endpoint.slots > 0 else DEFAULT_SLOTS

    def closed_reason(self) -> str:
        """Return the reason for which the server gets no new work, or an empty string.

        The string is also empty until the directory has been read; attempts wait meanwhile.
        """
        endpoint = self.endpoint
        if not self.is_loaded:
            return ""
        if endpoint is None:
            return NOT_HERE
        if endpoint.is_leaving:
            return LEAVING
        if endpoint.failure_domain in self._directory.out_domains:
            return OUT_OF_SERVICE
        return ""

    def is_other(self, attempt: Attempt) -> bool:
        """Return whether an attempt is for another incarnation than the one registered here."""
        return self.is_loaded and attempt.incarnation not in ("", self.incarnation)

    def new_start(self) -> RegisteredEndpoint | None:
        """Return the endpoint if it has started since the last call, or None."""
        endpoint = self.endpoint
        if endpoint is None or (endpoint.incarnation, endpoint.born_ms) == self._last_start:
            return None
        self._last_start = (endpoint.incarnation, endpoint.born_ms)
        return endpoint
