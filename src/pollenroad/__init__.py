"""A load balancer for servers whose load shifts in milliseconds.

>>> import pollenroad
>>> client = pollenroad.Client(["127.0.1.1:7000", "127.0.1.2:7000"], customer="penobscot")
>>> reply = client.get("merrimack/registry", "/numbers/17", request_class="lookup")
"""

import importlib

from pollenroad.exceptions import (
    CallError,
    ConfigurationError,
    PeerError,
    PlatformError,
    PollenroadError,
)
from pollenroad.verdicts import Verdict

__version__ = "0.1.0"

__all__ = [
    "CallError",
    "Client",
    "ConfigurationError",
    "PeerError",
    "PlatformError",
    "PollenroadError",
    "Reply",
    "Verdict",
    "call",
]

_MODULE_BY_LAZY_NAME = {
    "Client": "pollenroad.client",
    "Reply": "pollenroad.client",
    "call": "pollenroad.api",
}
"""Names that are imported at first use.

The command line must apply gevent's patches before any module imports sockets.
"""


def __getattr__(name: str) -> object:
    if name not in _MODULE_BY_LAZY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_LAZY_NAME[name]), name)
