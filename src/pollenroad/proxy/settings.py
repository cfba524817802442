"""Settings of a proxy's daemon, a JSON file; see docs/operators/platform.md."""

import math
import re
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from pollenroad.exceptions import ConfigurationError

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")

MAX_DURATION = 1e9
"""Largest number in a duration, in its unit."""

Duration = Annotated[str, Meta(pattern=r"^\d+(\.\d+)?(ms|s)$")]
"""A number with its unit, such as `1500ms` or `2.5s`."""

AddressText = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of a proxy's daemon, read at start and whenever the settings file changes."""

    vm: str
    failure_domain: str
    service: str
    """Service of the server beside this daemon."""
    server: AddressText
    """Address of that server."""
    call_address: AddressText
    """Address to which callers on this VM and its server send their requests."""
    peer_address: AddressText
    """Address at which other daemons reach this one; the port is the same on all VMs."""
    readiness_address: AddressText
    """Address of the readiness page."""
    notice_port: int
    """UDP port for load reports, the same on all VMs."""
    metrics_port: int
    """Port of the metrics page."""
    directory: AddressText
    """Address of the platform's store."""
    grace: Duration
    """Time between SIGTERM and SIGKILL."""
    change_bound: Duration = "2s"
    """Time in which a change at the platform must be in force at all daemons."""
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.2
    """Limit on attempts beyond the first of each request, as a share of a service's requests."""
    retry_slack: Annotated[float, Meta(ge=0)] = 0.0
    """Attempts allowed beyond that limit, for the whole fleet in each `retry_window`."""
    retry_window: Duration = "10s"
    quota_window: Duration = "5s"
    """Length of the window in which the requests of a workspace are bounded."""
    quota_excess: Annotated[float, Meta(ge=0)] = 0.25
    """Requests allowed above rate and burst of a workspace, as a share of them."""
    quota_slack: Annotated[float, Meta(ge=0)] = 0.0
    """Requests of a workspace allowed beyond that in a window, over all daemons."""
    cold_factor: Annotated[float, Meta(ge=1)] = 1.0
    """Limit on the requests per second to a cold server, as a multiple of `cold_per_s`."""
    cold_slack: Annotated[float, Meta(ge=0)] = 0.0
    """Requests allowed beyond that limit."""
    held_memory_mb: Annotated[int, Meta(ge=40)] = 52
    """Limit on the bytes of long requests and responses that are held at once, in MiB."""
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "DEBUG"


def seconds(duration: str) -> float:
    """Return a duration such as `1500ms` or `2.5s` in seconds.

    Raises:
        ValueError: If it is not a number with the unit `ms` or `s`, or over `MAX_DURATION`.
    """
    match = _DURATION.fullmatch(duration)
    value = float(match[1]) if match else math.inf
    if value > MAX_DURATION:
        raise ValueError(f"{duration[:64]!r} is not a duration such as 1500ms or 2.5s")
    return value / (1000 if match[2] == "ms" else 1)


def load_proxy_settings(path: str) -> ProxySettings:
    """Read and check a settings file.

    Raises:
        ConfigurationError: If it cannot be read or is not valid.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=ProxySettings)
    except OSError as error:
        raise ConfigurationError(path, "$", f"cannot be read: {error.strerror}") from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigurationError(path, "$", str(error)) from error
