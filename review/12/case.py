"""An endpoint leaves while the daemon that watches the store for its zone connects to it anew.

Zone a has three machines: one whose daemon watches the store, one with the endpoint that leaves,
and one whose clients send the requests. The endpoint's entry is removed, and it goes on serving. Just
before that, the connections of the watching daemon to the store are reset, once. With TROUBLE=0,
they aren't.
"""

import json
import sys
import threading
import time
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_3 import (  # noqa: E402
    HAS_TROUBLE,
    DeployedFleet,
    Record,
    connect,
    head_of_request,
    read_head,
    run_case,
)

from tests.users.faulty_link import FaultyLink  # noqa: E402
from tests.users.fleet import PEER  # noqa: E402

SUBNET = 215
VMS = 5
CLIENTS = 30
"""Clients of one machine; each sends its next request when the last one is answered."""
SERVICE_S = 0.3
DRAIN_S = 2.0
"""Bound of the rule, from the store's acknowledgement."""
CALM_S = 6.0
"""Time of traffic before the endpoint leaves, in which all machines are in touch."""
AFTER_RESET_S = 0.05
"""Time from the reset to the removal of the entry."""
WATCHED_S = 4.0
"""Time after the removal in which arrivals are counted."""


class _Fleet(DeployedFleet):
    """Zone a with three machines, zones b and c with one each; a link from each to the store."""

    def failure_domain(self, host: str) -> str:
        """Return the zone of a VM."""
        return "aaabc"[self._number(host)]

    def _number(self, host: str) -> int:
        return int(host.rpartition(".")[2]) - 2

    def roles(self) -> tuple[str, str, str]:
        """Return the hosts of zone a: who watches, that of the clients, of the endpoint."""
        hosts = [self._host(number) for number in range(1, 4)]
        watcher, first, second = sorted(
            hosts, key=lambda host: zlib.crc32(self.address(host, PEER).encode())
        )
        return watcher, first, second

    def service(self, host: str) -> str:
        """Return `beta` for the leaving endpoint and one in zone b, else `alpha`."""
        return "beta" if host == self.roles()[2] or self._number(host) == 3 else "alpha"

    def settings(self, host: str) -> dict:
        """Return the settings of a daemon, which reaches the store over its link."""
        return super().settings(host) | {"directory": f"{host}:{self.link_port(host)}"}

    def link_port(self, host: str) -> int:
        """Return the port of a daemon's link to the store, which is opened at the first call."""
        if not hasattr(self, "store_link_by_host"):
            self.store_link_by_host: dict[str, FaultyLink] = {}
        if host not in self.store_link_by_host:
            name, _, port = self.store.address.rpartition(":")
            self.store_link_by_host[host] = FaultyLink((host, 0), (name, int(port)))
        return self.store_link_by_host[host]._listener.getsockname()[1]

    def watches(self, host: str) -> bool:
        """Return whether a daemon said last that it watches the store."""
        lines = self.log_by_host[host].read_text().splitlines()
        events = [json.loads(line) for line in lines if '"watcher_changed"' in line]
        return bool(events) and events[-1]["watching"]


def _client(fleet, host: str, number: int, is_over, answers: list) -> None:
    sock, count = None, 0
    while not is_over():
        count += 1
        sent_at = time.monotonic()
        try:
            sock = sock or connect(fleet.call_target(host))
            stream = sock.makefile("rb")
            sock.sendall(head_of_request("GET", "/beta/read/x", f"c{number}-{count}", 2500))
            status, fields = read_head(stream)
            stream.read(int(fields["content-length"]))
            answers.append((sent_at, status.split()[1]))
            if not status.split()[1].startswith("2"):
                time.sleep(0.3)
        except OSError as error:
            sock = None
            answers.append((sent_at, type(error).__name__))


def _play(record: Record) -> bool:
    fleet = _Fleet(VMS, SUBNET, services=("alpha", "beta"))
    try:
        watcher, entry, leaving = fleet.roles()
        for server in fleet.server_by_host.values():
            server.service_s = SERVICE_S
        fleet.start_all()
        over_at = [float("inf")]
        answers: list[tuple[float, str]] = []
        clients = [
            threading.Thread(
                target=_client,
                args=(fleet, entry, n, lambda: time.monotonic() > over_at[0], answers),
            )
            for n in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        time.sleep(CALM_S)
        watching = [host for host in fleet.hosts if fleet.watches(host)]
        record.add(f"daemons that watch the store: {watching}; of zone a: {watcher}")
        if watcher not in watching:
            over_at[0] = 0.0
            raise RuntimeError("another daemon watches the store for zone a")
        if HAS_TROUBLE:
            fleet.store_link_by_host[watcher].reset()
            record.add(f"connections of {watcher} to the store are reset")
            time.sleep(AFTER_RESET_S)
        server = fleet.server_by_host[leaving]
        server.deregister()
        removed_at = time.monotonic()
        record.add(f"the store has acknowledged that the endpoint of {leaving} is gone")
        over_at[0] = removed_at + WATCHED_S
        for client in clients:
            client.join()
        arrivals = [at - removed_at for at in server.arrived_at if at > removed_at]
        late = [at for at in arrivals if at > DRAIN_S]
        statuses = [status for sent_at, status in answers if sent_at > removed_at]
        record.add(
            f"answers after that: { {s: statuses.count(s) for s in sorted(set(statuses))} }; "
            f"sent through {entry}, which was not disturbed"
        )
        last_s = max(arrivals, default=0.0)
        record.add(
            f"requests that reached the endpoint after its removal: {len(arrivals)}, "
            f"later than {DRAIN_S} s: {len(late)}, the last after {last_s:.3f} s"
        )
        return bool(late)
    finally:
        fleet.close()
        for link in getattr(fleet, "store_link_by_host", {}).values():
            link.close()


run_case(__file__, _play)
