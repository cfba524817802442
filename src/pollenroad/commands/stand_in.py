"""`pollenroad stand-in`: run a stand-in server or platform."""

import sys

import msgspec

from pollenroad.standins.platform import PlatformState, make_platform_server
from pollenroad.standins.server import ServerModel, make_server


def _make(kind: str, address: str, model: str):
    match kind:
        case "server":
            return make_server(address, msgspec.json.decode(model, type=ServerModel))
        case "platform":
            lag_s = msgspec.json.decode(model).get("vm_lag_s", 0.0)
            return make_platform_server(address, PlatformState(lag_s))
    return None


def run(kind: str, address: str, model: str = "{}") -> int:
    """Run a stand-in until it is stopped.

    Args:
        kind: `server` or `platform`.
        address: Address to listen on, `HOST:PORT`.
        model: JSON of its behaviour; see `pollenroad.standins`.

    Returns:
        0 when stopped, 1 if the kind or the model is refused.
    """
    try:
        server = _make(kind, address, model)
    except msgspec.DecodeError as error:
        print(f"--model: {error}", file=sys.stderr)
        return 1
    if server is None:
        print(f"{kind!r} is neither server nor platform", file=sys.stderr)
        return 1
    server.serve_forever()
    return 0
