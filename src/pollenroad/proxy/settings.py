"""Settings of a proxy's daemon, as JSON; see docs/operators/platform.md."""

import re
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from pollenroad.exceptions import ConfigurationError

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")

Duration = Annotated[str, Meta(pattern=r"^\d+(\.\d+)?(ms|s)$")]
"""A number with its unit, such as `1500ms` or `2.5s`."""

AddressText = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a proxy's daemon is told at its start, and whenever its settings file changes."""

    vm: str
    failure_domain: str
    service: str
    """Service of the server beside this daemon."""
    server: AddressText
    """Address of that server."""
    call_address: AddressText
    """Where callers on this VM and its server send their requests."""
    peer_address: AddressText
    """Where other daemons reach this one; the port is the same on all VMs."""
    readiness_address: AddressText
    """Where the readiness page is served."""
    notice_port: int
    """UDP port for load reports, the same on all VMs."""
    metrics_port: int
    """Port of the metrics page."""
    directory: AddressText
    """Address of the platform's store."""
    grace: Duration
    """Time between SIGTERM and SIGKILL."""
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.2
    """Bound on sends beyond the first of each request, as a share of the requests of a service."""
    retry_slack: Annotated[float, Meta(ge=0)] = 0.0
    """Sends beyond that bound, of the whole fleet in each window."""
    retry_window: Duration = "10s"
    cold_factor: Annotated[float, Meta(ge=1)] = 1.0
    """Bound on the requests that a cold server gets in a second, as a multiple of its rate."""
    cold_slack: Annotated[float, Meta(ge=0)] = 0.0
    """Requests beyond that bound."""
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "DEBUG"


def seconds(duration: str) -> float:
    """Return a duration such as `1500ms` or `2.5s` in seconds.

    Raises:
        ValueError: If it is no number with the unit `ms` or `s`.
    """
    match = _DURATION.fullmatch(duration)
    if match is None:
        raise ValueError(f"{duration!r} is no duration")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def load_proxy_settings(path: str) -> ProxySettings:
    """Read and check a settings file.

    Raises:
        ConfigurationError: If it cannot be read or is not valid.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=ProxySettings)
    except OSError as error:
        raise ConfigurationError(path, "$", f"cannot be read: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ConfigurationError(path, "$", str(error)) from error
