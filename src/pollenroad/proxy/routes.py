"""Matching of requests to routes, and the traffic split of a route."""

from pollenroad.published import Route, Share


class RouteTable:
    """Routes by host, matched by the longest path prefix."""

    def __init__(self, routes: tuple[Route, ...]):
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none.

        Args:
            host: Value of the Host header; its port is ignored.
            path: Path with its query, which is ignored.
        """
        name = host.partition(":")[0].lower()
        path = path.partition("?")[0]
        candidates = self._routes_by_host.get(name, ())
        return next((route for route in candidates if path.startswith(route.prefix)), None)


class Splitter:
    """Splits the requests of each route among its services by weight.

    Uses smooth weighted round robin: unlike independent random draws, it keeps every prefix of
    the sequence close to the weights.
    """

    def __init__(self):
        self._credit_by_route: dict[str, tuple[tuple[Share, ...], dict[str, float]]] = {}

    def service_of(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        shares, credit = self._credit_by_route.get(route.name, ((), {}))
        if shares != route.shares:
            credit = {share.service: 0.0 for share in route.shares}
            self._credit_by_route[route.name] = (route.shares, credit)
        for share in route.shares:
            credit[share.service] += share.weight
        chosen = max(route.shares, key=lambda share: credit[share.service]).service
        credit[chosen] -= sum(share.weight for share in route.shares)
        return chosen
