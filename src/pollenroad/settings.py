"""Settings of a daemon: one JSON file, checked before anything starts."""

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
    """What one daemon is told at its start."""

    vm: Name
    failure_domain: Name
    service: ServiceKey
    """Service of the server beside this daemon, `WORKSPACE/SERVICE`."""
    server: Address
    """Where the server beside this daemon listens."""
    call_address: Address
    """Where callers reach this daemon by HTTP."""
    peer_address: Address
    """Where other daemons reach this one."""
    operator_address: Address
    """Where operators reach this daemon by HTTP; bind it to an address callers cannot reach."""
    platform: tuple[Address, ...]
    """Addresses of the platform's configuration service."""
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    max_header_bytes: Annotated[int, Meta(ge=1024, le=65536)] = 16_384
    max_connections: Annotated[int, Meta(ge=1, le=50_000)] = 4096
    """Open connections of callers; further ones wait in the listen backlog."""
    idle_timeout_s: Annotated[float, Meta(gt=0, le=3600)] = 60.0
    """A caller's connection without a request for this long is closed."""
    recent_records: Annotated[int, Meta(ge=0, le=100_000)] = 4096
    """Events kept in memory for `pollenroad explain`."""
    stop_grace_s: Annotated[float, Meta(ge=0, le=3600)] = 30.0
    """Longest wait for requests in flight where no document states `drain_s`."""
    allow_cuts: bool = False
    """Whether operators may cut this daemon off from peers, to try a partition."""
    seeds: tuple[Address, ...] = ()
    """Peer addresses of some daemons that a starting one asks first, best of several racks."""
    fleet_hint: Annotated[int, Meta(ge=1, le=1_000_000)] = 11_000
    """Daemons that share the platform, at the most. Until a daemon knows its fleet, it bounds the
    rate at which it reads the platform by this."""
    record: Annotated[str, Meta(max_length=4096)] = ""
    """File to which a trace of this daemon is recorded, bounded; empty for none."""
    peer_key: Annotated[str, Meta(max_length=256)] = ""
    """Key that daemons share to authenticate each other; empty for none."""


def _split_message(message: str) -> tuple[str, str]:
    match = _PATH_IN_MESSAGE.match(message)
    if match is None:
        return "$", message
    return match["path"], match["reason"]


def parse_settings(data: bytes, source: str) -> Result[Settings, ConfigurationError]:
    """Check settings in JSON.

    Args:
        data: The JSON text.
        source: File name, for the error.

    Returns:
        The settings, or the error that names key and reason.
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
