"""Digests of workspace keys, the lookup of a request's workspace, and the fields that name it.

Handles one lookup for each request, at up to a few thousand requests a second of one daemon, with
up to 10,000 workspaces. The cost of a lookup does not depend on the number of keys. All open
requests are checked again when another configuration comes into force.
"""

from collections.abc import Iterable
from dataclasses import replace
from hashlib import blake2b

from msgspec.structs import replace as replace_struct

from pollenroad.messages import Request
from pollenroad.proxy.calls import OpenCall
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.directory import Directory
from pollenroad.published import Configuration, Route, Workspace

DIGEST_BYTES = 16
"""Length of the digest of a key, in bytes; two of 10,000 keys share one with a probability of
1.5e-31."""

NO_KEY = "no-key"
"""Refusal reason: the request carries no key, and its route is not public."""

UNKNOWN_KEY = "unknown-key"
"""Refusal reason: no workspace holds the key, or no longer."""


def digest(key: bytes) -> bytes:
    """Return the digest under which a key is kept."""
    return blake2b(key, digest_size=DIGEST_BYTES).digest()


def digest_of_fields(fields: Iterable[tuple[str, str]], dialect: Dialect) -> bytes:
    """Return the digest of the key in a request's fields; empty for none.

    A field that is repeated is one list (RFC 9110, section 5.3), which is the key of no workspace:
    otherwise it would depend on the order of the fields which key counts.
    """
    name = dialect.key.lower()
    key = ", ".join(value for field, value in fields if field.lower() == name)
    return digest(key.encode("latin-1")) if key else b""


def without_workspace_fields(
    fields: Iterable[tuple[str, str]], dialect: Dialect
) -> list[tuple[str, str]]:
    """Return the fields without those for the key and the name of a workspace.

    Names with underscores are removed too: servers that follow CGI (RFC 3875) read `X_Tenant` and
    `X-Tenant` under the same name.
    """
    removed = {_canonical(dialect.key), _canonical(dialect.workspace)}
    return [pair for pair in fields if _canonical(pair[0]) not in removed]


def without_key(request: Request, dialect: Dialect) -> Request:
    """Return a request without the fields for the key and the name of a workspace."""
    return replace_struct(
        request, headers=tuple(without_workspace_fields(request.headers, dialect))
    )


def workspace_of(
    configuration: Configuration, route: Route, key: bytes
) -> tuple[Workspace | None, str]:
    """Return the workspace of a request, or the reason to refuse it.

    Args:
        configuration: The configuration in force.
        route: Route of the request.
        key: Digest of the key; empty for none.

    Returns:
        The workspace, or None if the request needs none or is refused; and the reason to refuse it,
        or an empty string.
    """
    if not configuration.has_workspaces or route.is_public:
        return None, ""
    workspace = configuration.workspace_by_key.get(key)
    if workspace is None:
        return None, UNKNOWN_KEY if key else NO_KEY
    return workspace, ""


def recheck(call: OpenCall, directory: Directory, dialect: Dialect) -> None:
    """Look up the workspace of an open request in the configuration that is now in force.

    A request that was admitted without workspaces still has the fields that its caller set.
    """
    arrived, configuration = call.arrived, directory.configuration
    route = directory.routes.match(arrived.host, arrived.request.path) or call.route
    call.workspace, reason = workspace_of(configuration, route, arrived.workspace_key)
    call.is_revoked = bool(reason)
    if configuration.has_workspaces:
        call.arrived = replace(arrived, request=without_key(arrived.request, dialect))


def _canonical(name: str) -> str:
    return name.lower().replace("_", "-")
