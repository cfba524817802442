"""CONFIG: changes that are too long for one answer keep all daemons from everything that follows."""

import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    Record,
    ReviewFleet,
    configuration,
    finish,
)
from tests.users import fleet as users_fleet
from tests.users.store import StandInStore

SUBNET, MACHINES = 66, 6
VALUE_BYTES = 1_048_576
"""Longest value of an item: `value_bytes` of the settings."""

ENTRIES = 10
"""Entries that another writer leaves among those of the endpoints."""

HISTORY_S = 20.0
"""Time for which the store keeps its history."""

CONFIG_S = 2.0
"""Bound on the time until a configuration is in force."""

ASKED_AT_S = (2.5, 5.0, 8.0, 12.0, 16.0)
"""When each daemon is asked, after the acknowledgement of the new version, in seconds."""

PAGE_BYTES = 1_000_000
"""Length of a page of the store, unless a single item is longer."""


class PagedStore(StandInStore):
    """The stand-in of the store, with pages of about 1 MB and a history of 20 s."""

    def __init__(self, host: str):
        super().__init__(host)
        threading.Thread(target=self._drop_history, daemon=True).start()

    def _drop_history(self) -> None:
        kept: list[tuple[float, int]] = []
        while True:
            time.sleep(0.5)
            now = time.monotonic()
            with self._lock:
                kept.append((now, self._revision))
                while kept[0][0] < now - HISTORY_S:
                    self._last_forgotten_revision = kept.pop(0)[1]
                first = self._last_forgotten_revision
                self._log = [event for event in self._log if event["revision"] > first]

    def _range(self, query: dict[str, str]) -> dict:
        page = super()._range(query)
        length = 0
        for count, item in enumerate(page["items"], start=1):
            length += len(json.dumps(item))
            if length > PAGE_BYTES and count < len(page["items"]):
                return page | {"items": page["items"][:count], "truncated": True}
        return page


def version(number: int, service: str) -> dict:
    """Return a configuration that sends the route for reads to a service."""
    declared = configuration(version=number, services=("alpha", "beta"))
    row = declared["routes"]["rows"][0]
    row[declared["routes"]["columns"].index("service")] = service
    return declared


def ask(fleet: ReviewFleet, host: str, attempt: str) -> tuple[object, list[str]]:
    """Make a request through a daemon; return its status, and the services that ran it."""
    try:
        status = fleet.request(host, "/alpha/read/x", attempt)[0]
    except OSError as error:
        status = repr(error)
    servers = fleet.server_by_host.items()
    return status, [fleet.service(each) for each, server in servers if server.runs[attempt]]


def run() -> int:
    """Play the case and return the exit code."""
    record = Record(Path(__file__).resolve().parent)
    users_fleet.StandInStore = PagedStore
    fleet = ReviewFleet(MACHINES, SUBNET, services=("alpha", "beta"))
    stale = 0
    try:
        fleet.store.put("op/config", version(2, "alpha"))
        fleet.start_all()
        time.sleep(3.0)
        for host in fleet.hosts:
            record.add(f"version 2, {host}: {ask(fleet, host, f'before-{host}')}")
        if HAS_TROUBLE:
            for number in range(ENTRIES):
                fleet.store.put(f"servers/other-{number}", os.urandom(VALUE_BYTES))
            record.add(f"another writer leaves {ENTRIES} entries of {VALUE_BYTES} random bytes")
        time.sleep(1.0)
        fleet.store.put("op/config", version(3, "beta"))
        acknowledged_at = time.monotonic()
        record.add("version 3 is acknowledged: the route goes to beta")
        for after_s in ASKED_AT_S:
            time.sleep(max(0.0, acknowledged_at + after_s - time.monotonic()))
            for host in fleet.hosts:
                status, services = ask(fleet, host, f"{after_s}-{host}")
                stale += services == ["alpha"]
                record.add(f"{after_s} s after it, {host}: {status}, run by {services}")
    finally:
        fleet.close()
    record.add(f"{stale} requests run by the old service, later than {CONFIG_S} s after the change")
    return BROKEN if stale else HELD


if __name__ == "__main__":
    finish(run)
