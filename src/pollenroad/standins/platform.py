"""Stand-in for the platform: documents to read and watch, and a list of VMs that may lag.

Daemons only read below `/v1`; tests and benches publish and inject faults below `/control`.
"""

import time

import bottle
import gevent
import msgspec
from gevent.event import Event as Flag
from gevent.pywsgi import WSGIServer

from pollenroad.addresses import split_address

MAX_WATCH_S = 60.0
"""Longest time that a watch request waits for a change, in seconds."""


class PlatformState:
    """Published documents and VMs, and the injected faults.

    Args:
        vm_lag_s: Time until a change of the VM list becomes visible, in seconds.
    """

    def __init__(self, vm_lag_s: float = 0.0):
        self.revision = 0
        self.reads = 0
        self.vm_lag_s = vm_lag_s
        self.down = False
        self.stale = False
        self._document_by_key: dict[str, bytes] = {}
        self._version_by_key: dict[str, int] = {}
        self._revision_by_key: dict[str, int] = {}
        self._stale_view: tuple | None = None
        self._vms: list[dict] = []
        self._changed = Flag()

    def publish(self, key: str, version: int, data: bytes) -> None:
        """Publish a document without checking it."""
        self.revision += 1
        self._document_by_key[key] = data
        self._version_by_key[key] = version
        self._revision_by_key[key] = self.revision
        self._changed.set()
        self._changed.clear()

    def set_vms(self, vms: list[dict]) -> None:
        """Publish the list of VMs after `vm_lag_s`."""
        gevent.spawn_later(self.vm_lag_s, self._publish_vms, vms)

    def _publish_vms(self, vms: list[dict]) -> None:
        self.revision += 1
        self._vms = vms
        self._changed.set()
        self._changed.clear()

    def set_stale(self, stale: bool) -> None:
        """Serve a snapshot of the current documents from now on, or the current ones again."""
        self.stale = stale
        view = (self.revision, dict(self._document_by_key), dict(self._version_by_key))
        self._stale_view = view if stale else None
        self._changed.set()
        self._changed.clear()

    def _view(self) -> tuple:
        if self._stale_view is not None:
            return self._stale_view
        return self.revision, self._document_by_key, self._version_by_key

    def listing(self) -> dict:
        """Return the visible revision and the version of every document."""
        revision, _, versions = self._view()
        return {"revision": revision, "versions": versions}

    def document(self, key: str) -> bytes | None:
        """Return the JSON of a document, or None if there is no such document."""
        return self._view()[1].get(key)

    def vms(self) -> dict:
        """Return the list of VMs that is currently visible."""
        return {"revision": self.revision, "vms": self._vms}

    def watch(self, after: int, timeout_s: float) -> dict:
        """Wait until the visible revision exceeds `after`; return it and the changed keys."""
        deadline = time.monotonic() + min(timeout_s, MAX_WATCH_S)
        while self._view()[0] <= after and time.monotonic() < deadline and not self.down:
            self._changed.wait(deadline - time.monotonic())
        revision = self._view()[0]
        changed = [k for k, r in self._revision_by_key.items() if after < r <= revision]
        return {"revision": revision, "changed": changed}


def _add_reads(app: bottle.Bottle, state: PlatformState) -> None:
    def count_read():
        state.reads += 1
        if state.down:
            raise bottle.HTTPError(503, "down")

    @app.get("/v1/documents")
    def documents():
        count_read()
        return state.listing()

    @app.get("/v1/documents/<key:path>")
    def document(key: str):
        count_read()
        data = state.document(key)
        if data is None:
            raise bottle.HTTPError(404, f"no document {key}")
        bottle.response.content_type = "application/json"
        return data

    @app.get("/v1/watch")
    def watch():
        count_read()
        query = bottle.request.query
        result = state.watch(int(query.after or 0), float(query.timeout_s or 10))
        if state.down:
            raise bottle.HTTPError(503, "down")
        return result

    @app.get("/v1/vms")
    def vms():
        count_read()
        return state.vms()


def _add_controls(app: bottle.Bottle, state: PlatformState) -> None:
    @app.put("/control/documents/<key:path>")
    def publish(key: str):
        data = bottle.request.body.read()
        version = msgspec.json.decode(data).get("version", 0)
        state.publish(key, version, data)
        return {"revision": state.revision}

    @app.put("/control/vms")
    def set_vms():
        state.set_vms(bottle.request.json)
        return {}

    @app.put("/control/faults")
    def faults():
        changes = bottle.request.json
        state.down = changes.get("down", state.down)
        if "stale" in changes:
            state.set_stale(changes["stale"])
        return {"down": state.down, "stale": state.stale}

    @app.get("/control/reads")
    def reads():
        return {"reads": state.reads}


def make_platform_server(address: str, state: PlatformState) -> WSGIServer:
    """Return the HTTP server of the stand-in on `address`, not yet started."""
    app = bottle.Bottle()
    _add_reads(app, state)
    _add_controls(app, state)
    return WSGIServer(split_address(address), app, log=None, error_log=None, backlog=2048)
