"""Which route a request takes, and which of its services."""

from pollenroad.published import Route, Share


class RouteTable:
    """Routes by host, the longest prefix first."""

    def __init__(self, routes: tuple[Route, ...]):
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none.

        Args:
            host: Value of the Host header; a port in it does not count.
            path: Path with its query.
        """
        name = host.partition(":")[0].lower()
        path = path.partition("?")[0]
        candidates = self._routes_by_host.get(name, ())
        return next((route for route in candidates if path.startswith(route.prefix)), None)


class Splitter:
    """Divides the requests of each route among its services by weight.

    Smooth weighted round robin keeps every prefix of the sequence close to the weights, which
    independent draws do not.
    """

    def __init__(self):
        self._credit_by_route: dict[str, tuple[tuple[Share, ...], dict[str, float]]] = {}

    def service_of(self, route: Route) -> str:
        """Return the service of the next request of a route."""
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
