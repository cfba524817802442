"""Stand-in for a server: slots, service time, cold start, shedding, draining, and a ledger.

The path of a request is ignored. Every request occupies a slot for its service time; the answer is
JSON with the request's id, so that a caller can check that the answer belongs to its request.
"""

import random
import time
from dataclasses import dataclass, field
from typing import Literal

import bottle
import gevent
import msgspec
from gevent.lock import Semaphore
from gevent.pywsgi import WSGIServer

from pollenroad import headers
from pollenroad.addresses import split_address
from pollenroad.shell.http import CallHandler

DEADLINE_MARGIN_S = 0.001
"""Time after the deadline at which a request is cancelled, in seconds."""


class ServerModel(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Behaviour of the stand-in; a PUT to `/-/control` changes any field."""

    name: str = "server"
    slots: int = 20
    """Most requests served at the same time."""
    queue: int = 200
    """Most requests that wait for a slot; further ones are shed."""
    service_ms: float = 20.0
    """Mean service time, in milliseconds."""
    spread: float = 0.3
    """Half-width of a uniform service time as a share of its mean, or sigma of a lognormal one."""
    shape: Literal["uniform", "lognormal"] = "uniform"
    """Distribution of the service time."""
    cold_bound: int = 0
    """Most requests in flight that a cold server can handle; 0 for a server that is never cold."""
    warm_after_s: float = 5.0
    """Time from the start until the server is warm, in seconds."""
    straggle: float = 1.0
    """Factor on the service time."""
    pause_every_ms: float = 0.0
    """Mean time between pauses by a noisy neighbour, in milliseconds; 0 for no pauses."""
    pause_ms: float = 0.0
    """Length of a pause, during which no request makes progress, in milliseconds."""
    fail_fast: bool = False
    """Answer 500 without running the request."""
    shed: bool = False
    """Refuse every request without running it."""
    draining: bool = False
    cut_short: bool = False
    """Send half of the body and close the connection."""
    reported_factor: float = 1.0
    """Ratio of the reported requests in flight to the actual ones."""
    probe_ms: float = 0.0
    """Time that a probe occupies a slot, in milliseconds; 0 if probes are not supported."""
    seed: int = 1


@dataclass(slots=True)
class LedgerEntry:
    """One request that started to run."""

    request_id: str
    attempt_id: str
    request_class: str
    started: float
    """Wall-clock time, in seconds since the epoch."""
    state: str = "running"
    """`running`, `done` or `cancelled`."""


@dataclass(slots=True)
class Ledger:
    """Requests that ran at this server, and counters of its load."""

    entries: list[LedgerEntry] = field(default_factory=list)
    max_in_flight: int = 0
    cold_bound_exceeded: int = 0
    shed: int = 0
    probes: int = 0
    probe_ms: float = 0.0


class ServerState:
    """Slots, clock and ledger of one stand-in server."""

    def __init__(self, model: ServerModel):
        self.model = model
        self.ledger = Ledger()
        self.in_flight = 0
        self._rng = random.Random(model.seed)
        self._slots = Semaphore(model.slots)
        self._started = time.monotonic()
        self._paused_until = 0.0
        gevent.spawn(self._pause_at_random)

    @property
    def is_cold(self) -> bool:
        """Whether the server is still cold."""
        model = self.model
        age_s = time.monotonic() - self._started
        return model.cold_bound > 0 and age_s < model.warm_after_s

    def restart_cold_period(self) -> None:
        """Start the cold period again, without reporting it."""
        self._started = time.monotonic()

    def update_model(self, changes: dict) -> None:
        """Change the named fields of the model."""
        merged = {**msgspec.to_builtins(self.model), **changes}
        self.model = msgspec.convert(merged, ServerModel)

    def _pause_at_random(self) -> None:
        while True:
            mean_ms = self.model.pause_every_ms
            if not mean_ms:
                gevent.sleep(0.05)
                continue
            gevent.sleep(self._rng.expovariate(1000 / mean_ms))
            self._paused_until = time.monotonic() + self.model.pause_ms / 1000

    def _draw_service_s(self) -> float:
        model = self.model
        if model.shape == "uniform":
            jitter = self._rng.uniform(1 - model.spread, 1 + model.spread)
        else:
            jitter = self._rng.lognormvariate(-(model.spread**2) / 2, model.spread)
        return model.service_ms / 1000 * jitter * model.straggle

    def _sleep_unpaused(self, seconds: float) -> None:
        """Sleep for `seconds`, not counting pauses."""
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            paused_s = max(0.0, self._paused_until - now)
            if paused_s:
                end += paused_s
                gevent.sleep(paused_s)
            else:
                gevent.sleep(min(end - now, 0.002) if self.model.pause_every_ms else end - now)

    def refusal_reason(self) -> str:
        """Return the reason to refuse a new request, and count sheds; empty if it is accepted."""
        model = self.model
        if model.draining:
            return "draining"
        if model.shed or self.in_flight >= model.slots + model.queue:
            self.ledger.shed += 1
            return "shed"
        return ""

    def run(self, entry: LedgerEntry) -> None:
        """Serve one request as soon as a slot is free."""
        self.in_flight += 1
        ledger = self.ledger
        ledger.max_in_flight = max(ledger.max_in_flight, self.in_flight)
        if self.is_cold and self.in_flight > self.model.cold_bound:
            ledger.cold_bound_exceeded += 1
        ledger.entries.append(entry)
        try:
            with self._slots:
                self._sleep_unpaused(self._draw_service_s())
            entry.state = "done"
        finally:
            self.in_flight -= 1

    def probe(self) -> None:
        """Occupy a slot for the time of a probe."""
        self.ledger.probes += 1
        self.ledger.probe_ms += self.model.probe_ms
        with self._slots:
            gevent.sleep(self.model.probe_ms / 1000)

    def load_report(self) -> str:
        """Return the load report, distorted by `reported_factor`."""
        reported = round(self.in_flight * self.model.reported_factor)
        return f"in-flight={reported}; slots={self.model.slots}"


def _kill_on_close(sock, task: gevent.Greenlet):
    """Kill `task` when the peer closes its connection, which cancels the attempt."""
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def on_readable():
        watcher.stop()
        task.kill(block=False)

    watcher.start(on_readable)
    return watcher


def _serve(state: ServerState) -> bottle.HTTPResponse:
    request = bottle.request
    entry = LedgerEntry(
        request.headers.get(headers.REQUEST_ID, ""),
        request.headers.get(headers.ATTEMPT_ID, ""),
        request.headers.get(headers.REQUEST_CLASS, ""),
        time.time(),
    )
    body = request.body.read()
    task = gevent.spawn(state.run, entry)
    watcher = _kill_on_close(request.environ["pollenroad.socket"], task)
    deadline_ms = float(request.headers.get(headers.DEADLINE_MS, "60000"))
    task.join(deadline_ms / 1000 + DEADLINE_MARGIN_S)
    watcher.stop()
    watcher.close()
    if entry.state != "done":
        task.kill()
        entry.state = "cancelled"
        return bottle.HTTPResponse("deadline or cancelled\n", 504)
    answer = {"request_id": entry.request_id, "server": state.model.name, "received": len(body)}
    return bottle.HTTPResponse(msgspec.json.encode(answer), 200, Content_Type="application/json")


def _add_service_route(app: bottle.Bottle, state: ServerState) -> None:
    @app.route("/<path:path>", method="ANY")
    def serve(path: str):
        refusal_reason = state.refusal_reason()
        if refusal_reason:
            return bottle.HTTPResponse("", 503, **{headers.NOT_RUN: refusal_reason})
        if state.model.fail_fast:
            return bottle.HTTPResponse("failed\n", 500)
        reply = _serve(state)
        reply.set_header("Server-Load", state.load_report())
        if state.model.cut_short:
            reply.set_header("Content-Length", str(2 * len(reply.body)))
        return reply


def _add_controls(app: bottle.Bottle, state: ServerState) -> None:
    @app.get("/-/health")
    def health():
        return {"state": "draining" if state.model.draining else "serving"}

    @app.get("/-/load")
    def load_report():
        if not state.model.probe_ms:
            raise bottle.HTTPError(404, "no probe")
        state.probe()
        return {"in_flight": state.in_flight, "slots": state.model.slots}

    @app.put("/-/control")
    def control():
        changes = bottle.request.json
        if changes.pop("turn_cold", False):
            state.restart_cold_period()
        state.update_model(changes)
        return {}

    @app.get("/-/ledger")
    def ledger():
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(state.ledger)


def make_server(address: str, model: ServerModel) -> WSGIServer:
    """Return a stand-in server on `address`, not yet started."""
    state = ServerState(model)
    app = bottle.Bottle()
    _add_controls(app, state)
    _add_service_route(app, state)
    return WSGIServer(
        split_address(address),
        app,
        handler_class=CallHandler,
        log=None,
        error_log=None,
        backlog=1024,
    )
