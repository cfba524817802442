"""Names of the header fields exchanged between callers, daemons and servers.

The defaults are the product's own names; an adapter for another environment supplies others.
"""

from dataclasses import dataclass

from pollenroad import headers as own


@dataclass(frozen=True, slots=True)
class Dialect:
    """Names of the header fields that the proxy exchanges with callers and servers."""

    request_id: str = own.REQUEST_ID
    """Id of the request; a server repeats it in its answer."""
    deadline_ms: str = own.DEADLINE_MS
    """Time left until the deadline, in milliseconds."""
    signature: str = "Pollenroad-Signature"
    """Present in every answer that the server itself produced."""
    expected_incarnation: str = "Pollenroad-Expect-Incarnation"
    """The only incarnation that may run the request; any other answers 421."""
    load: str = "Pollenroad-Load"
    """Requests running, requests waiting, slots, and service time in percent of the usual one."""
    not_run: str = own.NOT_RUN
    """Marks a refusal by the server itself: the request did not run there."""
    caller: str = "Pollenroad-Caller"
    """Service on the VM from which the request came."""
    cold_ms: str = "Pollenroad-Cold-Ms"
    """Time until the server is warm, in milliseconds."""
    limit: str = "Pollenroad-Limit"
    """Requests a second that the server takes from all daemons together."""
    leaving: str = "Pollenroad-Leaving"
    """Marks the answers of a server that is about to stop."""
    incarnation: str = "Pollenroad-Incarnation"
    """Incarnation of the server, in its health responses."""
    key: str = "Pollenroad-Key"
    """Key of a caller's workspace."""
    workspace: str = "Pollenroad-Workspace"
    """Name of the workspace of a request, stated to the server."""

    @property
    def reserved_fields(self) -> frozenset[str]:
        """Lower-case names of the fields that a caller cannot set."""
        return frozenset(
            name.lower() for name in (self.deadline_ms, self.expected_incarnation, self.caller)
        )


OWN_DIALECT = Dialect()
"""The product's own names."""
