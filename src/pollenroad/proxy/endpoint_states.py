"""States of an endpoint in load reports."""

STARTING = "starting"
"""The server has not answered its guard since the start of either."""

SERVING = "serving"

COLD = "cold"

LEAVING = "leaving"
"""The server itself leaves, by its registration or its answers."""

DRAINING = "draining"
"""The daemon beside the server is stopping; the server stays."""

OUT = "out"
"""Operators took the endpoint out of service, or it is not registered."""

DOWN = "down"
"""The server does not answer health checks."""

OUT_STATES = frozenset({LEAVING, DRAINING, OUT, DOWN})
"""States in which an endpoint accepts no new work."""
