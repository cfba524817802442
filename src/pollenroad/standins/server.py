"""A stand-in for a server: slots, service time, cold start, shedding, draining, and a ledger.

The request's path chooses nothing; every request takes a slot for its service time and answers
with JSON that names the request, so that a caller can tell whether the answer is its own.
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


class ServerModel(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """How the stand-in behaves; a PUT to `/control` changes any of it."""

    name: str = "server"
    slots: int = 20
    """Requests served at the same time."""
    queue: int = 200
    """Requests that wait for a slot; further ones are shed."""
    service_ms: float = 20.0
    """Mean service time."""
    spread: float = 0.3
    """Half-width of a uniform service time as a share of the mean, or sigma of a lognormal one."""
    shape: Literal["uniform", "lognormal"] = "uniform"
    """Distribution of the service time."""
    cold_bound: int = 0
    """Requests in flight above which a cold server falls over; 0 for a server never cold."""
    warm_after_s: float = 5.0
    """Time in service after which the server is warm."""
    straggle: float = 1.0
    """Factor on the service time."""
    pause_every_ms: float = 0.0
    """Mean time between pauses by a noisy neighbour; 0 for none."""
    pause_ms: float = 0.0
    """Length of a pause, during which no request makes progress."""
    fail_fast: bool = False
    """Answer 500 at once."""
    shed: bool = False
    """Refuse every request before running it."""
    draining: bool = False
    cut_short: bool = False
    """Send half of the body and close."""
    reported_factor: float = 1.0
    """Factor by which the load report lies."""
    probe_ms: float = 0.0
    """Slot time of a probe; 0 for no probe."""
    seed: int = 1


@dataclass(slots=True)
class LedgerEntry:
    """One request that started to run."""

    request_id: str
    attempt_id: str
    request_class: str
    started: float
    """Wall clock, in seconds since the epoch."""
    state: str = "running"
    """`running`, `done` or `cancelled`."""


@dataclass(slots=True)
class Ledger:
    """What ran at this server, and how hard it was pressed."""

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
        gevent.spawn(self._pause_now_and_then)

    @property
    def cold(self) -> bool:
        """Whether the server is still cold."""
        model = self.model
        age_s = time.monotonic() - self._started
        return model.cold_bound > 0 and age_s < model.warm_after_s

    def turn_cold(self) -> None:
        """Start the cold period again, without telling anybody."""
        self._started = time.monotonic()

    def change(self, wanted: dict) -> None:
        """Change the model."""
        merged = {**msgspec.to_builtins(self.model), **wanted}
        self.model = msgspec.convert(merged, ServerModel)

    def _pause_now_and_then(self) -> None:
        while True:
            mean_ms = self.model.pause_every_ms
            if not mean_ms:
                gevent.sleep(0.05)
                continue
            gevent.sleep(self._rng.expovariate(1000 / mean_ms))
            self._paused_until = time.monotonic() + self.model.pause_ms / 1000

    def _service_s(self) -> float:
        model = self.model
        if model.shape == "uniform":
            jitter = self._rng.uniform(1 - model.spread, 1 + model.spread)
        else:
            jitter = self._rng.lognormvariate(-(model.spread**2) / 2, model.spread)
        return model.service_ms / 1000 * jitter * model.straggle

    def _work(self, seconds: float) -> None:
        """Sleep through `seconds` of progress; a pause makes none."""
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            paused_s = max(0.0, self._paused_until - now)
            if paused_s:
                end += paused_s
                gevent.sleep(paused_s)
            else:
                gevent.sleep(min(end - now, 0.002) if self.model.pause_every_ms else end - now)

    def refusal(self) -> str:
        """Return why a new request is refused, or an empty string."""
        model = self.model
        if model.draining:
            return "draining"
        if model.shed or self.in_flight >= model.slots + model.queue:
            self.ledger.shed += 1
            return "shed"
        return ""

    def run(self, entry: LedgerEntry) -> None:
        """Take a slot and serve one request."""
        self.in_flight += 1
        ledger = self.ledger
        ledger.max_in_flight = max(ledger.max_in_flight, self.in_flight)
        if self.cold and self.in_flight > self.model.cold_bound:
            ledger.cold_bound_exceeded += 1
        ledger.entries.append(entry)
        try:
            with self._slots:
                self._work(self._service_s())
            entry.state = "done"
        finally:
            self.in_flight -= 1

    def probe(self) -> None:
        """Spend a slot on a probe."""
        self.ledger.probes += 1
        self.ledger.probe_ms += self.model.probe_ms
        with self._slots:
            gevent.sleep(self.model.probe_ms / 1000)

    def load(self) -> str:
        """Return the load report, as true as the model says."""
        reported = round(self.in_flight * self.model.reported_factor)
        return f"in-flight={reported}; slots={self.model.slots}"


def _watch_caller(sock, task: gevent.Greenlet):
    """Kill `task` when the peer closes its side, which is how an attempt is cancelled."""
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
    watcher = _watch_caller(request.environ["pollenroad.socket"], task)
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


def _serve_all(app: bottle.Bottle, state: ServerState) -> None:
    @app.route("/<path:path>", method="ANY")
    def serve(path: str):
        refusal = state.refusal()
        if refusal:
            return bottle.HTTPResponse("", 503, **{headers.NOT_RUN: refusal})
        if state.model.fail_fast:
            return bottle.HTTPResponse("failed\n", 500)
        reply = _serve(state)
        reply.set_header("Server-Load", state.load())
        if state.model.cut_short:
            reply.set_header("Content-Length", str(2 * len(reply.body)))
        return reply


def _add_controls(app: bottle.Bottle, state: ServerState) -> None:
    @app.get("/-/health")
    def health():
        return {"state": "draining" if state.model.draining else "serving"}

    @app.get("/-/load")
    def load():
        if not state.model.probe_ms:
            raise bottle.HTTPError(404, "no probe")
        state.probe()
        return {"in_flight": state.in_flight, "slots": state.model.slots}

    @app.put("/-/control")
    def control():
        wanted = bottle.request.json
        if wanted.pop("turn_cold", False):
            state.turn_cold()
        state.change(wanted)
        return {}

    @app.get("/-/ledger")
    def ledger():
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(state.ledger)


def make_server(address: str, model: ServerModel) -> WSGIServer:
    """Make a stand-in server on `address`, not yet started."""
    state = ServerState(model)
    app = bottle.Bottle()
    _add_controls(app, state)
    _serve_all(app, state)
    return WSGIServer(
        split_address(address),
        app,
        handler_class=CallHandler,
        log=None,
        error_log=None,
        backlog=1024,
    )
