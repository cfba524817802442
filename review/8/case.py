"""LOST: a guard that was idle takes time from an attempt, and breaks it off before its timeout."""

import select
import socket
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    Record,
    ReviewFleet,
    await_condition,
    configuration,
    connect_call,
    finish,
)
from tests.users import fleet as users_fleet
from tests.users.raw_http import answer_bytes
from tests.users.server import StandInServer

SUBNET, MACHINES = 67, 9
GRACE_S = 6.0
TIMEOUT_S, DEADLINE_MS = 1.5, 3_000
"""Timeout of the route and deadline of the client, as for `bib-assign` on the site."""

WORK_S = 1.25
"""Work of a request; the site states a mean of 0.29 s and at most 2.1 s."""

STOP_AFTER_S = 0.3
"""Time between the request and the SIGTERM, in seconds."""

CALM_S = 3.2
"""Time without any disruption before each request: more than `stable_window`."""

MARGIN_S = 0.05
"""Tolerance before the timeout."""


class DeadlineServer(StandInServer):
    """A server that stops work at the deadline that it receives, or when its connection closes."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.stated_ms: dict[str, float] = {}
        self.broken_off: set[str] = set()
        """Ids of requests whose connection was closed while the server was at work on them."""

    def _run(self, handler, method: str, path: str, headers: dict, body: bytes) -> bytes | None:
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") != self.id:
            return super()._run(handler, method, path, headers, body)
        self.runs[attempt] += 1
        self.stated_ms[attempt] = float(headers["x-deadline-ms"])
        work_s = min(WORK_S, self.stated_ms[attempt] / 1000)
        readable, _, _ = select.select([handler.connection], [], [], work_s)
        if readable:
            self.broken_off.add(attempt)
            return None
        fields = {"X-Attempt-Id": attempt, "X-Response-Signature": f"sig.{attempt}"}
        return answer_bytes(200 if work_s == WORK_S else 504, fields, b"")


@dataclass
class Outcome:
    """What a client saw of one request."""

    attempt: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    is_signed: bool = False
    text: str = ""


def send(fleet: ReviewFleet, host: str, outcome: Outcome) -> None:
    """Send one request that isn't idempotent to the service of other machines."""
    service = next(name for name in fleet.services if name != fleet.service(host))
    outcome.sent_at = time.monotonic()
    try:
        with socket.create_connection(fleet.call_address(host), 1.0) as sock:
            sock.settimeout(DEADLINE_MS / 1000)
            outcome.status, fields, body = connect_call(
                sock, "POST", f"/{service}/write/x", outcome.attempt, DEADLINE_MS, b"x"
            )
        outcome.is_signed = "x-response-signature" in fields
        outcome.text = "" if outcome.is_signed else body.decode("latin-1").strip()
    except OSError as error:
        outcome.text = repr(error)
    outcome.ended_at = time.monotonic()


def play(fleet: ReviewFleet, host: str, record: Record) -> bool:
    """Stop the daemon of a machine while one of its requests runs; return whether it was cut."""
    outcome = Outcome(f"q-{host}")
    thread = threading.Thread(target=send, args=(fleet, host, outcome))
    thread.start()
    time.sleep(STOP_AFTER_S)
    if HAS_TROUBLE:
        fleet.stop(host)
    thread.join()
    server = next((s for s in fleet.server_by_host.values() if s.runs[outcome.attempt]), None)
    took_s = outcome.ended_at - outcome.sent_at
    was_at_work = server is not None and outcome.attempt in server.broken_off
    is_cut = not outcome.is_signed and was_at_work and took_s < TIMEOUT_S - MARGIN_S
    stated = f"{server.stated_ms[outcome.attempt]:.0f} ms" if server else "nothing"
    record.add(
        f"{outcome.attempt}: {outcome.status} {outcome.text or '(of the server)'} after "
        f"{took_s:.2f} s, the server was told {stated}, at work when its connection was closed: {was_at_work}"
        f"{', SIGTERM ' + str(STOP_AFTER_S) + ' s after it was sent' if HAS_TROUBLE else ''}"
    )
    if HAS_TROUBLE:
        fleet.process_by_host[host].wait(GRACE_S + 1)
        fleet.start(host)
        await_condition(lambda: fleet.is_ready(host))
    return is_cut


def run() -> int:
    """Play the case and return the exit code."""
    record = Record(Path(__file__).resolve().parent)
    users_fleet.StandInServer = DeadlineServer
    fleet = ReviewFleet(MACHINES, SUBNET, f"{GRACE_S:g}s", services=("alpha", "beta"))
    try:
        declared = configuration(
            version=2, services=("alpha", "beta"), timeout=f"{TIMEOUT_S * 1000:g}ms"
        )
        slo = declared["routes"]["columns"].index("slo")
        for row in declared["routes"]["rows"]:
            row[slo] = "800ms"
        fleet.store.put("op/config", declared)
        fleet.start_all()
        cut = 0
        for host in fleet.hosts:
            time.sleep(CALM_S)
            cut += play(fleet, host, record)
    finally:
        fleet.close()
    kind = "after its SIGTERM" if HAS_TROUBLE else "without a SIGTERM, which the rule doesn't count"
    record.add(f"{cut} of {MACHINES} requests broken off before their timeout, {kind}")
    return BROKEN if cut and HAS_TROUBLE else HELD


if __name__ == "__main__":
    finish(run)
