"""The shortest way in: one call, without keeping a client."""

from pollenroad.client import Client, Reply


def call(entries: list[str] | tuple[str, ...], service: str, path: str, **options) -> Reply:
    """Make one call through one of `entries`.

    Args:
        entries: Call addresses of daemons, `HOST:PORT`.
        service: Key of the service, `WORKSPACE/SERVICE`.
        path: Path at the server.
        **options: `method`, `customer`, and those of `Client.request`.

    Returns:
        The answer with its verdict.
    """
    method = options.pop("method", "GET")
    client = Client(entries, options.pop("customer", "anonymous"))
    return client.request(method, service, path, **options)
