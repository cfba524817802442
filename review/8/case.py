"""LOST: a daemon that was told to stop accepts requests that it then cuts off before their end."""

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
    configuration,
    connect_call,
    finish,
)

SUBNET = 63
GRACE_S = 10.0
TIMEOUT_S = 6.0
OBJECTIVE = "3000ms"
DEADLINE_MS = 12_000
"""Bounds of the site, and those of its route for `standings-read`."""

WORK_S = 5.5
"""Work of a request; the site states a mean of 1.2 s and at most 7.4 s."""

EXCUSED_S = 3.0
"""Requests that were sent up to this time after the SIGTERM are excused if they are still at work
in the last sixth of `grace`."""

STOP_AT_S = 1.5
"""When the SIGTERM is sent, after the first request, in seconds."""

REQUESTS, GAP_S = 20, 0.3
"""Requests of the clients on the machine, and the time between two of them."""

MARGIN_S = 0.05
"""Tolerance of the times that the rule compares."""


@dataclass
class Outcome:
    """What a client saw of one request."""

    attempt: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_signed: bool = False
    text: str = ""


def send(fleet: ReviewFleet, outcome: Outcome) -> None:
    """Send one request on a new connection, and note how it ends."""
    try:
        with socket.create_connection(fleet.call_address(fleet.hosts[0]), 1.0) as sock:
            sock.settimeout(DEADLINE_MS / 1000)
            outcome.sent_at = time.monotonic()
            outcome.status, fields, body = connect_call(
                sock, "GET", "/alpha/read/standings", outcome.attempt, DEADLINE_MS
            )
        outcome.is_signed = "x-response-signature" in fields
        outcome.text = "" if outcome.is_signed else body.decode("latin-1").strip()
    except OSError as error:
        outcome.text = repr(error)
    outcome.ended_at = time.monotonic()


def poll_readiness(fleet: ReviewFleet, record: Record) -> None:
    """Ask the machine's daemon once a second whether it is ready, as the platform does."""
    while True:
        record.add(f"platform: ready {fleet.is_ready(fleet.hosts[0])}")
        time.sleep(1.0)


def is_broken(outcome: Outcome, runs: int, stopped_at: float) -> bool:
    """Return whether the daemon cut this request off although nothing excuses it."""
    if not runs or outcome.is_signed:
        return False
    after_stop_s = outcome.sent_at - stopped_at
    took_s = outcome.ended_at - outcome.sent_at
    is_excused = after_stop_s <= EXCUSED_S + MARGIN_S or took_s >= TIMEOUT_S - MARGIN_S
    return not is_excused and outcome.ended_at <= stopped_at + GRACE_S + 1


def run() -> int:
    """Play the case and return the exit code."""
    record = Record(Path(__file__).resolve().parent)
    fleet = ReviewFleet(3, SUBNET, grace=f"{GRACE_S:g}s")
    try:
        declared = configuration(version=2, timeout=f"{TIMEOUT_S:g}s")
        slo = declared["routes"]["columns"].index("slo")
        for row in declared["routes"]["rows"]:
            row[slo] = OBJECTIVE
        fleet.store.put("op/config", declared)
        for server in fleet.server_by_host.values():
            server.service_s = WORK_S
        fleet.start_all()
        threading.Thread(target=poll_readiness, args=(fleet, record), daemon=True).start()
        started, stopped_at = time.monotonic(), float("inf")
        outcomes, threads = [], []
        for number in range(REQUESTS):
            time.sleep(max(0.0, started + number * GAP_S - time.monotonic()))
            if HAS_TROUBLE and stopped_at == float("inf") and number * GAP_S >= STOP_AT_S:
                fleet.stop(fleet.hosts[0])
                stopped_at = time.monotonic()
                record.add(f"SIGTERM to the daemon of {fleet.hosts[0]}")
            outcomes.append(Outcome(f"q-{number}", time.monotonic()))
            threads.append(threading.Thread(target=send, args=(fleet, outcomes[-1])))
            threads[-1].start()
        for thread in threads:
            thread.join()
        runs = {o.attempt: sum(s.runs[o.attempt] for s in fleet.server_by_host.values())
                for o in outcomes}  # fmt: skip
    finally:
        fleet.close()
    broken, since = 0, stopped_at if HAS_TROUBLE else started
    for outcome in outcomes:
        is_cut = is_broken(outcome, runs[outcome.attempt], stopped_at)
        broken += is_cut
        record.add(
            f"{outcome.attempt}: sent at {outcome.sent_at - since:.2f} s, "
            f"run {runs[outcome.attempt]} times, status {outcome.status} {outcome.text} after "
            f"{outcome.ended_at - outcome.sent_at:.2f} s{' CUT OFF' if is_cut else ''}"
        )
    record.add(f"times are since the {'SIGTERM' if HAS_TROUBLE else 'first request'}")
    record.add(f"{broken} requests cut off without an excuse")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    finish(run)
