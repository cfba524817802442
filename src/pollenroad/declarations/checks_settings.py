"""Semantic checks of a daemon's settings: addresses that cannot be right."""

from collections.abc import Iterator

from pollenroad.addresses import host_of
from pollenroad.declarations.checks import check_address
from pollenroad.declarations.problems import Problem
from pollenroad.settings import Settings

_OWN_ADDRESSES = ("server", "call_address", "peer_address", "operator_address")
"""Settings that each name an address of their own on the VM."""

_ANY_HOSTS = frozenset({"0.0.0.0", "::"})
"""Hosts that stand for every address of a VM."""

_LISTENED_ON = frozenset({"call_address", "operator_address"})
"""Addresses that no daemon passes on, so that they may stand for every address of the VM."""


def _check_own(settings: Settings) -> Iterator[Problem]:
    first_by_address: dict[str, str] = {}
    for name in _OWN_ADDRESSES:
        address = getattr(settings, name)
        path = f"$.{name}"
        if name not in _LISTENED_ON or host_of(address) not in _ANY_HOSTS:
            yield from check_address(path, address)
        first = first_by_address.setdefault(address, name)
        if first != name:
            reason = f"address {address!r} is used twice"
            yield Problem(path, reason, f"the first is at $.{first}")


def check_settings(settings: Settings) -> list[Problem]:
    """Return every semantic error of a daemon's settings."""
    problems = list(_check_own(settings))
    for index, address in enumerate(settings.platform):
        problems += check_address(f"$.platform[{index}]", address)
    if not settings.platform:
        hint = "name at least one address of the platform's configuration service"
        problems.append(Problem("$.platform", "no platform is named", hint))
    return problems
