"""Semantic checks of the addresses in a daemon's settings."""

from collections.abc import Iterator

from pollenroad.addresses import host_of
from pollenroad.declarations.checks import check_address
from pollenroad.declarations.problems import Problem
from pollenroad.settings import Settings

_OWN_ADDRESSES = ("server", "call_address", "peer_address", "operator_address")
"""Settings that hold addresses on the VM, no two of which may be equal."""

_WILDCARD_HOSTS = frozenset({"0.0.0.0", "::"})
"""Hosts that mean every address of a VM."""

_LISTEN_ONLY = frozenset({"call_address", "operator_address"})
"""Addresses that are never sent to other daemons, so their host may be a wildcard."""


def _check_own_addresses(settings: Settings) -> Iterator[Problem]:
    first_by_address: dict[str, str] = {}
    for name in _OWN_ADDRESSES:
        address = getattr(settings, name)
        path = f"$.{name}"
        if name not in _LISTEN_ONLY or host_of(address) not in _WILDCARD_HOSTS:
            yield from check_address(path, address)
        first = first_by_address.setdefault(address, name)
        if first != name:
            reason = f"address {address!r} is used twice"
            yield Problem(path, reason, f"the first is at $.{first}")


def check_settings(settings: Settings) -> list[Problem]:
    """Return every semantic error of a daemon's settings."""
    problems = list(_check_own_addresses(settings))
    for index, address in enumerate(settings.platform):
        problems += check_address(f"$.platform[{index}]", address)
    if not settings.platform:
        hint = "name at least one address of the platform's configuration service"
        problems.append(Problem("$.platform", "no platform is named", hint))
    return problems
