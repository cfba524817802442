"""Memory of daemons while callers do not read long responses, or upload more than one can hold.

Each group of connections is small; on daemons without an account of the bytes that they hold, it
takes one of them far past the limit.
"""

import os
import socket
import threading
import time
import unittest
from pathlib import Path

from tests.users.fleet import CALL, METRICS, UsersFleet, await_condition, configuration
from tests.users.raw_http import call, request_bytes
from tests.users.server import ENDLESS

MIB = 1_048_576
GROUP = 12
"""Connections of one group."""
PIPELINED = 8
"""Requests that each connection of a group sends at once, if it pipelines."""
UPLOADS = 27
UPLOAD_BYTES = 8 * MIB
MAX_OVER_IDLE_BYTES = 64 * MIB
"""Resident memory that a daemon may use above what it uses when idle, in bytes."""
MAX_DESCRIPTORS_PER_CONNECTION = 4
"""Descriptors that a daemon may use for each connection of the group, above those of idle."""
STOP_BYTES = 1_000 * MIB
"""Resident memory at which a test kills a daemon, to protect the machine that runs it."""
HELD_S = 6.0
"""Time for which a group stays connected, in seconds."""
SAMPLE_S = 0.02
RECEIVE_BUFFER_BYTES = 65_536
"""Receive buffer of a caller that does not read, so that the system does not take the response."""
READ_PER_TURN_BYTES, TURN_S = 1_024, 0.25
"""A slow caller reads 4 KiB a second."""
DEADLINE_MS = 10_000


class MemoryFleet(UsersFleet):
    """One VM with the service `beta`, and three with `alpha`."""

    def service(self, host: str) -> str:
        """Return the service of the server on a VM."""
        return "beta" if host.endswith(".2") else "alpha"


class Daemon:
    """Memory and descriptors of one process, at their peak and when idle."""

    def __init__(self, pid: int):
        self.pid = pid
        self.is_stopped = False
        self.idle_bytes = self._memory("VmRSS")
        self.idle_descriptors = self._descriptors()
        self.peak_bytes, self.peak_descriptors = self.idle_bytes, self.idle_descriptors

    def _memory(self, name: str) -> int:
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return next((int(line.split()[1]) * 1024 for line in lines if line.startswith(name)), 0)

    def _descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def sample(self) -> None:
        """Update the peaks; kill the process if it endangers the machine."""
        try:
            self.peak_bytes = max(self.peak_bytes, self._memory("VmRSS"))
            self.peak_descriptors = max(self.peak_descriptors, self._descriptors())
        except OSError:
            return  # The process has ended, which the test reports.
        if self.peak_bytes > STOP_BYTES and not self.is_stopped:
            self.is_stopped = True
            os.kill(self.pid, 9)


class MemoryTest(unittest.TestCase):
    def setUp(self):
        self.fleet = MemoryFleet(4, subnet=61, services=("alpha", "beta"))
        self.addCleanup(self.fleet.close)
        limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                  "header_timeout": "3000ms", "idle_timeout": "15000ms"}  # fmt: skip
        services = ("alpha", "beta")
        config = configuration(2, services, timeout="10s", limits=limits)
        self.fleet.store.put("op/config", config)
        self.fleet.start_all()
        self._count = 0
        for host in self.fleet.hosts:
            for service in services:
                self._ask(host, service)
        time.sleep(0.5)
        processes = self.fleet.process_by_host
        self.daemon_by_host = {host: Daemon(processes[host].pid) for host in self.fleet.hosts}
        self._ended = threading.Event()
        sampler = threading.Thread(target=self._sample)
        sampler.start()
        self.addCleanup(sampler.join)
        self.addCleanup(self._ended.set)

    def _sample(self):
        while not self._ended.wait(SAMPLE_S):
            for daemon in self.daemon_by_host.values():
                daemon.sample()

    def _id(self) -> str:
        self._count += 1
        return f"m{self._count}"

    def _ask(self, host: str, service: str):
        status, _, _ = self.fleet.request(host, f"/{service}/read/x", self._id())
        self.assertEqual(status, 200)

    def _open_group(self, requests: int, size: int) -> list[socket.socket]:
        """Return connections to one daemon that have sent requests for long responses."""
        host, _, port = self.fleet.address(self.fleet.hosts[0], CALL).rpartition(":")
        socks = []
        for _ in range(GROUP):
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.connect((host, int(port)))
            for _ in range(requests):
                fields = {"Host": "shop.example", "X-Attempt-Id": self._id(),
                          "X-Deadline-Ms": str(DEADLINE_MS)}  # fmt: skip
                sock.sendall(request_bytes("GET", f"/alpha/read/long-{size}", fields))
            socks.append(sock)
        return socks

    def _check(self, group: int):
        """Check every daemon, and that an ordinary request is answered by each service."""
        for host, daemon in self.daemon_by_host.items():
            over_mib = (daemon.peak_bytes - daemon.idle_bytes) / MIB
            descriptors = daemon.peak_descriptors - daemon.idle_descriptors
            print(f"{self.id().rpartition('.')[2]} {host}: idle {daemon.idle_bytes / MIB:.0f} MB, "
                  f"at most {over_mib:.0f} MB and {descriptors} descriptors over it")  # fmt: skip
        for host, daemon in self.daemon_by_host.items():
            with self.subTest(host=host):
                self.assertFalse(daemon.is_stopped, "the test killed the daemon")
                self.assertIsNone(self.fleet.process_by_host[host].poll())
                self.assertLessEqual(daemon.peak_bytes - daemon.idle_bytes, MAX_OVER_IDLE_BYTES)
                most = daemon.idle_descriptors + MAX_DESCRIPTORS_PER_CONNECTION * group
                self.assertLess(daemon.peak_descriptors, most)
        for service in ("alpha", "beta"):
            with self.subTest(service=service):
                self._ask(self.fleet.hosts[0], service)

    # The entry read every response, however many of them their caller left unread: 1.9 GB in 13 s.
    def test_callers_that_pipeline_and_read_nothing(self):
        self._open_group(PIPELINED, MIB)
        time.sleep(HELD_S)
        self._check(GROUP)

    def test_callers_that_pipeline_and_read_slowly(self):
        socks = self._open_group(PIPELINED, MIB)
        end = time.monotonic() + HELD_S
        while time.monotonic() < end:
            for sock in socks:
                try:
                    sock.recv(READ_PER_TURN_BYTES, socket.MSG_DONTWAIT)
                except OSError:
                    continue  # Nothing has arrived, or the daemon has closed the connection.
            time.sleep(TURN_S)
        self._check(GROUP)

    def test_callers_of_one_long_response_each_that_read_nothing(self):
        self._open_group(1, UPLOAD_BYTES)
        time.sleep(HELD_S)
        self._check(GROUP)

    # Each entry held its share of the uploads, and they added up at the guard: over 300 MB.
    def test_uploads_from_several_daemons_to_one(self):
        entries = self.fleet.hosts[1:]
        statuses: dict[int, int] = {}

        def upload(host: str, request_id: str) -> None:
            fields = {"Host": "shop.example", "X-Attempt-Id": request_id,
                      "X-Deadline-Ms": str(DEADLINE_MS)}  # fmt: skip
            try:
                address = self.fleet.address(host, CALL)
                body = bytes(UPLOAD_BYTES)
                status, _, _ = call(address, "POST", "/beta/write/x", fields, body, 20.0)
            except OSError:
                status = 0
            statuses[status] = statuses.get(status, 0) + 1

        pairs = [(entries[number % len(entries)], self._id()) for number in range(UPLOADS)]
        threads = [threading.Thread(target=upload, args=pair) for pair in pairs]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print("uploads by status", statuses)
        self._check(UPLOADS)

    def test_servers_that_send_without_end(self):
        """A caller on another system kept all such bytes until it ran out of memory."""
        beta = next(h for h in self.fleet.hosts if self.fleet.service(h) == "beta")
        for fault in ENDLESS:
            self.fleet.server_by_host[beta].fault = fault
            threads = []
            for number in range(GROUP):
                host = self.fleet.hosts[number % len(self.fleet.hosts)]
                request = (host, "/beta/read/x", self._id())
                threads.append(threading.Thread(target=self.fleet.request, args=request))
                threads[-1].start()
            for thread in threads:
                thread.join()
        self.fleet.server_by_host[beta].fault = ""
        self._check(GROUP)

    # A reference in a task that lives as long as a link kept the last message counted for ever.
    def test_all_bytes_are_returned(self):
        group = self._open_group(2, MIB)
        for host in self.fleet.hosts:
            for service in ("alpha", "beta"):
                path, body = f"/{service}/write/long-{MIB}", bytes(MIB)
                status, _, answer = self.fleet.request(host, path, self._id(), "POST", body, 9_000)
                self.assertEqual((status, len(answer)), (200, MIB))
        for sock in group:
            sock.close()
        await_condition(lambda: not any(map(self._held_bytes, self.fleet.hosts)))

    def _held_bytes(self, host: str) -> float:
        """Return the bytes that a daemon holds, according to its metrics page."""
        address = self.fleet.address(host, METRICS)
        lines = call(address, "GET", "/metrics", {"Host": "x"})[2].decode().splitlines()
        return sum(float(li.split()[1]) for li in lines if li.startswith("pollenroad_held_"))


if __name__ == "__main__":
    unittest.main()
