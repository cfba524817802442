"""Randomized soak test of daemon processes: injects faults and checks guarantees from outside.

Run seeds by hand with `python -m tests.users.soak --seeds 1-50`. The seed determines faults and
requests, but not the timing of the processes. A seed that has failed stays in `REGRESSIONS`.
"""

import argparse
import gzip
import json
import random
import signal
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from tests.users.fleet import CALL, UsersFleet, configuration
from tests.users.raw_http import connect, read_message, request_bytes
from tests.users.soak_checks import QUIET_S, Checks, ClientRequest

REGRESSIONS: dict[int, str] = {
    20: "SIGTERM before the handler was set ended the daemon with a signal's code; not a fault",
    49: "as seed 20",
}
"""Seeds that have failed, with the cause."""

FAILED_LOGS = Path("docs/incidents/logs")
"""Directory for the logs of failed seeds."""

VMS = 6
CLIENTS = 8

SERVER_FAULTS = (
    "cut", "cut-head", "extra", "unsigned", "encoded", "refuse", "shed", "error", "reset",
    "endless", "late-copy", "shed-copy", "",
)  # fmt: skip
STATEMENTS = (
    {}, {}, {"Server-Limit": "0"}, {"Server-Limit": "6.5"}, {"Server-Limit": "many"},
    {"Server-Leaving": "1"},
)  # fmt: skip

NOTES = ("plain", "Zo\u00e9", "\u00ff\u0080")
"""Values of a field that servers repeat; octets above 127 are allowed in it."""

ODD_ENTRIES = (
    b"not json", b'{"x":' + b"[" * 20_000 + b"]" * 20_000 + b"}", {"slots": 10**30},
    {"addr": "127.0.0.1:70000"}, {"addr": "server.example:80"}, {"cold_left": "9" * 400 + "s"},
    {"service": "delta", "born": 2**50}, {"born": 10**20}, {"zone": None},
)  # fmt: skip
"""Values of another writer, or what they change of the registration of a server."""

LINK_FAULTS = ("delay", "silent", "one-way", "refuse", "")


@dataclass
class Soak:
    """One run: a fleet, its clients, and the results of their requests."""

    seed: int
    fleet: UsersFleet
    request_by_id: dict[str, ClientRequest] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    is_finished: bool = False
    disrupted_until: float = 0.0
    stopped_at: dict[str, float] = field(default_factory=dict)
    copy: tuple[dict[str, dict], int] | None = None
    """Copy of the store from which it may come back."""

    # --- Clients ---

    def run_client(self, number: int) -> None:
        """Send requests one after the other, on persistent connections."""
        rng = random.Random(f"{self.seed}/{number}")
        sock = stream = None
        host = ""
        for count in range(1_000_000):
            if self.is_finished:
                return
            attempt = f"{self.seed}-{number}-{count}"
            try:
                if sock is None:
                    host = rng.choice(self.fleet.hosts)
                    sock = connect(self.fleet.address(host, CALL), 5.0)
                    stream = sock.makefile("rb")
                keeps_connection = self._request(rng, host, sock, stream, attempt)
            except OSError:
                keeps_connection = False
            if not keeps_connection or rng.random() < 0.05:
                if sock is not None:
                    sock.close()
                sock = None
            time.sleep(rng.uniform(0.0, 0.05))

    def _request(self, rng, host: str, sock, stream, attempt: str) -> bool:
        service, is_read = rng.choice(self.fleet.services), rng.random() < 0.5
        path = f"/{service}/{'read' if is_read else 'write'}/{rng.randrange(100)}"
        body = b"" if is_read else bytes(rng.randrange(1, 2000))
        note = rng.choice(NOTES)
        fields = {"Host": "shop.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "2500",
                  "X-Note": note}  # fmt: skip
        method = "GET" if is_read else "POST"
        sent = ClientRequest(host, is_read, time.monotonic(), path, len(body))
        self.request_by_id[attempt] = sent
        sock.sendall(request_bytes(method, path, fields, body))
        message = read_message(stream)
        sent.ended = time.monotonic()
        if message is None:
            return False
        status_line, headers, content = message
        sent.status = status_line.split()[1]
        if sent.status == "200":
            expected = f"{method} {path} {len(body)}".encode()
            if content != expected or headers.get("x-response-signature") != f"sig.{attempt}":
                self.violations.append(f"mixed: {attempt} got {content!r}, {headers}")
            if headers.get("x-note") != note:
                self.violations.append(f"mixed: {attempt} got {headers}, not {note!r}")
        return headers.get("connection") != "close"

    # --- Faults ---

    def inject_faults(self, seconds: float) -> None:
        """Inject random faults one after the other, whose effects may overlap."""
        rng = random.Random(self.seed)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.disrupted_until = time.monotonic() + QUIET_S
            rng.choice(
                (
                    self._restart,
                    self._kill,
                    self._pause,
                    self._set_server_fault,
                    self._set_link_fault,
                    self._fail_store,
                    self._change_configuration,
                    self._change_registration,
                    self._set_statements,
                    self._copy_store,
                    self._restore_store,
                    self._write_odd_entry,
                    self._end_behind_heartbeat,
                )
            )(rng)
            time.sleep(rng.uniform(0.05, 0.8))
        self._clear_faults()

    def _restart(self, rng: random.Random) -> None:
        host = rng.choice(self.fleet.hosts)
        self.stopped_at[host] = time.monotonic()
        self.fleet.signal(host, signal.SIGTERM)

    def _kill(self, rng: random.Random) -> None:
        self.fleet.signal(rng.choice(self.fleet.hosts), signal.SIGKILL)

    def _pause(self, rng: random.Random) -> None:
        host = rng.choice(self.fleet.hosts)
        self.fleet.signal(host, signal.SIGSTOP)
        resume = threading.Timer(rng.uniform(0.2, 2.0), self.fleet.signal, (host, signal.SIGCONT))
        resume.start()

    def _set_server_fault(self, rng: random.Random) -> None:
        server = self.fleet.server_by_host[rng.choice(self.fleet.hosts)]
        server.fault, server.slowness = rng.choice(SERVER_FAULTS), rng.choice((100, 100, 700))

    def _set_link_fault(self, rng: random.Random) -> None:
        link = rng.choice(list(self.fleet.link_by_host.values()))
        link.mode = rng.choice(LINK_FAULTS)
        if rng.random() < 0.5:
            link.reset()

    def _fail_store(self, rng: random.Random) -> None:
        self.fleet.store.mode = rng.choice(("", "busy", "silent", "reset"))
        if rng.random() < 0.3:
            self.fleet.store.forget_history()

    def _change_configuration(self, rng: random.Random) -> None:
        self.fleet.version += rng.randrange(1, 4)
        timeout = rng.choice(("900ms", "1500ms"))
        services = self.fleet.services
        value = configuration(self.fleet.version, services=services, timeout=timeout)
        self.fleet.store.put("op/config", value)

    def _set_statements(self, rng: random.Random) -> None:
        server = self.fleet.server_by_host[rng.choice(self.fleet.hosts)]
        if "Server-Leaving" in server.statements:
            server.restart()
        server.statements = rng.choice(STATEMENTS)

    def _write_odd_entry(self, rng: random.Random) -> None:
        """Write an entry as another writer would, and remove an earlier one."""
        server = self.fleet.server_by_host[rng.choice(self.fleet.hosts)]
        odd = rng.choice(ODD_ENTRIES)
        value = odd if isinstance(odd, bytes) else server.entry() | odd
        self.fleet.store.put(f"servers/odd-{rng.randrange(4)}", value)
        self.fleet.store.delete(f"servers/odd-{rng.randrange(4)}")

    def _end_behind_heartbeat(self, rng: random.Random) -> None:
        """End a registration right behind an entry, and register again a little later."""
        server = self.fleet.server_by_host[rng.choice(self.fleet.hosts)]
        server.register(cold_ms=rng.choice((0, 500)))
        server.deregister()
        threading.Timer(rng.uniform(0.0, 2.5), server.restart).start()

    def _copy_store(self, _rng: random.Random) -> None:
        self.copy = self.fleet.store.copy()

    def _restore_store(self, rng: random.Random) -> None:
        """Let the store come back from a copy; what was lost is written again a little later."""
        if self.copy is None:
            return
        self.fleet.store.restore(self.copy)
        threading.Timer(rng.uniform(0.0, 1.5), self._write_again).start()

    def _write_again(self) -> None:
        value = configuration(self.fleet.version, services=self.fleet.services)
        self.fleet.store.put("op/config", value)
        for server in self.fleet.server_by_host.values():
            server.register("draining" if server.is_draining else "ready")

    def _change_registration(self, rng: random.Random) -> None:
        server = self.fleet.server_by_host[rng.choice(self.fleet.hosts)]
        server.register(rng.choice(("ready", "ready", "draining")))

    def restart_ended_daemons(self) -> None:
        """Restart daemons that have ended, as the platform does."""
        while not self.is_finished:
            for host, process in list(self.fleet.process_by_host.items()):
                code = process.poll()
                if code is not None and not self.is_finished:
                    if code not in (0, -signal.SIGKILL) and not self._ended_before_handler(
                        host, code
                    ):
                        self.violations.append(f"ended: daemon on {host} with code {code}")
                    self.fleet.start(host)
            time.sleep(0.1)

    def _ended_before_handler(self, host: str, code: int) -> bool:
        """Return whether SIGTERM arrived before its handler was set: the daemon never started."""
        started = self.fleet.log_by_host[host].read_text().count('"daemon_started"')
        return code == -signal.SIGTERM and started < self.fleet.starts_by_host[host]

    def _clear_faults(self) -> None:
        self.fleet.store.mode = ""
        for host in self.fleet.hosts:
            self.fleet.link_by_host[host].mode = ""
            server = self.fleet.server_by_host[host]
            server.fault, server.slowness = "", 100
            server.restart()
            self.fleet.signal(host, signal.SIGCONT)


def run(seed: int, seconds: float = 8.0, subnet: int = 200) -> list[str]:
    """Run one seed; return the violations."""
    fleet = UsersFleet(VMS, subnet, ("alpha", "beta"), with_faulty_links=True)
    soak = Soak(seed, fleet)
    try:
        fleet.start_all()
        tasks = [threading.Thread(target=soak.run_client, args=(n,)) for n in range(CLIENTS)]
        tasks.append(threading.Thread(target=soak.restart_ended_daemons))
        for task in tasks:
            task.start()
        soak.inject_faults(seconds)
        checks = Checks(seed, fleet, soak.request_by_id, soak.violations)
        checks.check_recovery()
        checks.check_limit()
        checks.check_drain()
        soak.is_finished = True
        for task in tasks:
            task.join()
        time.sleep(0.5)
        checks.check_runs()
        checks.check_configuration()
        if soak.violations:
            _save_logs(fleet, seed)
        served = sum(1 for s in soak.request_by_id.values() if s.status == "200")
        print(json.dumps({"seed": seed, "requests": len(soak.request_by_id), "served": served,
                          "broken": soak.violations[:5]}), flush=True)  # fmt: skip
        return soak.violations
    finally:
        soak.is_finished = True
        fleet.close()


def _save_logs(fleet: UsersFleet, seed: int) -> None:
    FAILED_LOGS.mkdir(parents=True, exist_ok=True)
    with gzip.open(FAILED_LOGS / f"soak-{seed}.log.gz", "wt") as saved:
        for host, path in fleet.log_by_host.items():
            saved.writelines(f"{host} {line}\n" for line in path.read_text().splitlines())


def _seeds(text: str) -> Iterator[int]:
    first, _, last = text.partition("-")
    yield from range(int(first), int(last or first) + 1)


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-50", help="one seed or a range, such as 1-50")
    parser.add_argument("--seconds", type=float, default=8.0, help="seconds of faults per seed")
    parser.add_argument("--subnet", type=int, default=200, help="third byte of the VMs' addresses")
    arguments = parser.parse_args()
    failed = [s for s in _seeds(arguments.seeds) if run(s, arguments.seconds, arguments.subnet)]
    print(f"failed seeds: {failed}" if failed else "no guarantee was violated")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
