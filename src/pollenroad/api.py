"""Convenience function for a single call without a client object."""

from pollenroad.client import Client, Reply


def call(entries: list[str] | tuple[str, ...], service: str, path: str, **options) -> Reply:
    """Make one call through one of several entries.

    Args:
        entries: Call addresses of daemons, `HOST:PORT`.
        service: Key of the service, `WORKSPACE/SERVICE`.
        path: Path at the server.
        **options: `method`, `customer`, and the options of `Client.request`.

    Returns:
        The complete answer with its verdict.
    """
    method = options.pop("method", "GET")
    client = Client(entries, options.pop("customer", "anonymous"))
    return client.request(method, service, path, **options)
