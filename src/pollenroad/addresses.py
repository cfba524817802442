"""Parsing of addresses in the form `HOST:PORT`."""


def split_address(address: str) -> tuple[str, int]:
    """Split `HOST:PORT` (or `[HOST]:PORT` for IPv6) into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def host_of(address: str) -> str:
    """Return the host of `HOST:PORT`."""
    return split_address(address)[0]
