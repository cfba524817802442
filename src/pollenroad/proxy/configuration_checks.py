"""Checks of a configuration before it is sent, and its differences from the one in force.

Load: one configuration at a time, of up to 10,000 routes and services; the cost is linear in their
number. No I/O.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import fields

from pollenroad.declarations.problems import Problem, Severity
from pollenroad.proxy.calls import MAX_REFUSALS
from pollenroad.published import Configuration, Route, Share, Workspace


def find_problems(configuration: Configuration, endpoints: int = 0) -> list[Problem]:
    """Return what is wrong with a configuration that can be decoded.

    Args:
        configuration: The configuration.
        endpoints: Number of endpoints of each service; 0 if it is not known.
    """
    routes = configuration.routes
    return [
        *_unmatched_routes(routes),
        *_repeated_names(routes),
        *(problem for route in routes for problem in _contradictions(route, endpoints)),
        *_quotas_without_burst(configuration),
    ]


def version_problems(new: Configuration, in_force: Configuration) -> Iterator[Problem]:
    """Yield a problem if daemons would ignore the new configuration for its version."""
    if new.version <= in_force.version:
        relation = "equal to" if new.version == in_force.version else "lower than"
        reason = f"{new.version:08x} is {relation} {in_force.version:08x}, the one in force"
        hint = "daemons replace a version only by a higher one"
        yield Problem("version", reason, hint)


def differences(old: Configuration, new: Configuration) -> list[str]:
    """Return what a new configuration changes, as one line for each change."""
    old_routes, new_routes = ({r.name: r for r in c.routes} for c in (old, new))
    return [
        *_changes("route", old_routes, new_routes),
        *_order_change(old.routes, new.routes),
        *_changes("service", old.service_by_name, new.service_by_name),
        *_changes("workspace", _workspace_by_name(old), _workspace_by_name(new)),
        *_key_changes(old, new),
        *_field_changes("limits", old.limits, new.limits),
    ]


def _unmatched_routes(routes: Iterable[Route]) -> Iterator[Problem]:
    """Yield a problem for each route that no request can match, or that leads nowhere."""
    first_by_place: dict[tuple[str, str], Route] = {}
    for route in routes:
        first = first_by_place.setdefault((route.host, route.prefix), route)
        if first is not route:
            reason = f"never matches: {first.name} has the same host and prefix, and comes first"
            yield _warning(route, reason)
        if ":" in route.host:
            yield _warning(route, f"never matches: host {route.host} states a port", "leave it out")
        if "?" in route.prefix:
            yield _warning(route, f"never matches: prefix {route.prefix} holds a query")
        if not any(share.weight > 0 for share in route.shares):
            yield _warning(route, "no service gets its requests: the split is empty")


def _repeated_names(routes: Iterable[Route]) -> Iterator[Problem]:
    """Yield a problem for each name of several routes, whose splits would be mixed."""
    for name, count in Counter(route.name for route in routes).items():
        if count > 1:
            yield Problem(f"route {name}", f"{count} routes have this name", "", Severity.WARNING)


def _contradictions(route: Route, endpoints: int) -> Iterator[Problem]:
    if route.timeout_s < route.objective_s:
        limits = f"timeout {route.timeout_s:g} s, objective {route.objective_s:g} s"
        yield _warning(route, f"ends before its objective is reached: {limits}")
    if endpoints and route.max_attempts > endpoints:
        reason = f"{route.max_attempts} attempts for {endpoints} endpoints"
        yield _warning(route, reason, "each attempt goes to another endpoint")
    elif route.max_attempts > MAX_REFUSALS:
        reason = f"{route.max_attempts} attempts"
        yield _warning(route, reason, f"a request fails after {MAX_REFUSALS} refusals")


def _quotas_without_burst(configuration: Configuration) -> Iterator[Problem]:
    for name, workspace in _workspace_by_name(configuration).items():
        if workspace.rate_per_s > 0 and not workspace.burst:
            reason = f"{workspace.rate_per_s:g} requests a second, but no burst"
            hint = "requests that come close together are refused"
            yield Problem(f"workspace {name}", reason, hint, Severity.WARNING)


def _workspace_by_name(configuration: Configuration) -> dict[str, Workspace]:
    """Return the workspaces that have a key."""
    return {w.name: w for w in configuration.workspace_by_key.values()}


def _key_changes(old: Configuration, new: Configuration) -> Iterator[str]:
    """Yield how many keys of each workspace are new or gone; keys themselves are not shown."""
    before, after = old.workspace_by_key, new.workspace_by_key
    added = Counter(w.name for key, w in after.items() if key not in before)
    removed = Counter(w.name for key, w in before.items() if key not in after)
    for name in sorted(added.keys() | removed.keys()):
        yield f"workspace {name}: {added[name]} keys added, {removed[name]} removed"


def _warning(route: Route, reason: str, hint: str = "") -> Problem:
    return Problem(f"route {route.name}", reason, hint, Severity.WARNING)


def _changes(kind: str, old: Mapping[str, object], new: Mapping[str, object]) -> Iterator[str]:
    yield from (f"{kind} {name}: removed" for name in old if name not in new)
    for name, value in new.items():
        if name not in old:
            yield f"{kind} {name}: added"
        else:
            yield from _field_changes(f"{kind} {name}", old[name], value)


def _field_changes(title: str, old: object, new: object) -> Iterator[str]:
    for field in fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            yield f"{title}: {field.name} {_shown(before)} -> {_shown(after)}"


def _order_change(old: Iterable[Route], new: Iterable[Route]) -> Iterator[str]:
    """Yield a line if routes of one host and prefix, of which the first matches, changed places."""
    old_first, new_first = _first_by_place(old), _first_by_place(new)
    for place, name in new_first.items():
        before = old_first.get(place, name)
        if before != name:
            yield f"requests to {''.join(place)}: route {before} -> {name}"


def _first_by_place(routes: Iterable[Route]) -> dict[tuple[str, str], str]:
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        first.setdefault((route.host, route.prefix), route.name)
    return first


def _shown(value: object) -> str:
    match value:
        case tuple():
            return ", ".join(_shown(item) for item in value) or "none"
        case Share(service, weight):
            return f"{service} {weight:g}"
        case float():
            return f"{value:g}"
    return str(value)
