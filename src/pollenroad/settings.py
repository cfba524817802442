"""Settings of a daemon: a JSON file that is checked before anything starts."""

import re
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from pollenroad.exceptions import ConfigurationError
from pollenroad.models import END, Address, Declared, Name

ServiceKey = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]*/[a-z0-9][a-z0-9-]*" + END)]
_PATH_IN_MESSAGE = re.compile(r"^(?P<reason>.*) - at `(?P<path>[^`]*)`$")


class Settings(Declared):
    """Settings that one daemon reads at its start."""

    vm: Name
    failure_domain: Name
    service: ServiceKey
    """Service of the server beside this daemon, as `WORKSPACE/SERVICE`."""
    server: Address
    """Address on which the server beside this daemon listens."""
    call_address: Address
    """Address on which this daemon accepts HTTP calls."""
    peer_address: Address
    """Address on which this daemon accepts links from other daemons."""
    operator_address: Address
    """Address on which operators reach this daemon by HTTP; it must not be reachable by callers."""
    platform: tuple[Address, ...]
    """Addresses of the platform's configuration service."""
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    max_header_bytes: Annotated[int, Meta(ge=1024, le=65536)] = 16_384
    max_connections: Annotated[int, Meta(ge=1, le=50_000)] = 4096
    """Maximum open connections from callers; further ones wait in the listen backlog."""
    idle_timeout_s: Annotated[float, Meta(gt=0, le=3600)] = 60.0
    """Time without progress of a read or write until a caller connection is closed, in seconds."""
    recent_records: Annotated[int, Meta(ge=0, le=100_000)] = 4096
    """Number of events kept in memory for `pollenroad explain`."""
    stop_grace_s: Annotated[float, Meta(ge=0, le=3600)] = 30.0
    """Maximum wait for requests in flight if no document states `drain_s`, in seconds."""
    allow_cuts: bool = False
    """Whether operators may cut this daemon off from its peers to test a network partition."""
    seeds: tuple[Address, ...] = ()
    """Peer addresses of daemons to contact first at start, preferably in several racks."""
    fleet_hint: Annotated[int, Meta(ge=1, le=1_000_000)] = 11_000
    """Maximum number of daemons that share the platform. A daemon limits its rate of platform reads
    by this number until it knows its fleet."""
    record: Annotated[str, Meta(max_length=4096)] = ""
    """File to which a trace of this daemon is recorded, up to a size limit; empty for none."""
    peer_key: Annotated[str, Meta(max_length=256)] = ""
    """Shared key with which daemons authenticate each other; empty for none."""


def _split_message(message: str) -> tuple[str, str]:
    match = _PATH_IN_MESSAGE.match(message)
    if match is None:
        return "$", message
    return match["path"], match["reason"]


def parse_settings(data: bytes, source: str) -> Result[Settings, ConfigurationError]:
    """Parse and check settings in JSON.

    Args:
        data: The JSON text.
        source: File name for the error.

    Returns:
        The settings, or an error with the key and the reason.
    """
    try:
        return Success(msgspec.json.decode(data, type=Settings))
    except msgspec.DecodeError as error:
        path, reason = _split_message(str(error))
        return Failure(ConfigurationError(source, path, reason, "see docs/operators/install.md"))


def load_settings(path: str) -> Result[Settings, ConfigurationError]:
    """Read and check the settings file at `path`."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        return Failure(ConfigurationError(path, "$", f"cannot be read: {error.strerror}"))
    return parse_settings(data, path)
