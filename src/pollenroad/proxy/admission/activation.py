"""Whether the configuration in force calls for load shedding by rank.

Load: none of its own. A deployment whose configuration has no route of the highest priority that
must not run twice is served exactly as without this package.
"""

from pollenroad.proxy.directory import Directory
from pollenroad.published import Configuration

HIGHEST_RANK = 0
"""Rank of the requests that are shed last."""


def calls_for_shedding(configuration: Configuration | None) -> bool:
    """Return whether a route that must not run twice has the highest priority."""
    routes = configuration.routes if configuration else ()
    return any(not route.idempotent and route.priority == HIGHEST_RANK for route in routes)


class Activation:
    """Whether load shedding is enabled, evaluated once for each configuration."""

    def __init__(self, directory: Directory):
        self._directory = directory
        self._configuration: Configuration | None = None
        self._is_enabled = False

    @property
    def is_enabled(self) -> bool:
        """Whether the configuration in force calls for load shedding."""
        if self._directory.configuration is not self._configuration:
            self._configuration = self._directory.configuration
            self._is_enabled = calls_for_shedding(self._configuration)
        return self._is_enabled
