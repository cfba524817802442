"""What the cases 11 to 15 share: daemons started by the deploy file, a record, and clients."""

import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.users.fleet import CALL, UsersFleet  # noqa: E402

RUN = shlex.split(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["proxy"]["run"])
"""Command of a daemon, started at the root of the repository."""

BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes of a case: the rule was broken, it held, or the case could not run."""

_processes: list[subprocess.Popen] = []
"""All processes that the case has started."""

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class DeployedFleet(UsersFleet):
    """Daemons that are started as the deploy file says, without the caller's environment."""

    def settings(self, host: str) -> dict:
        """Return the settings of a daemon, with the grace of the sites."""
        return super().settings(host) | {"grace": "6s"}

    def start(self, host: str) -> None:
        """Start the daemon of a VM."""
        self.starts_by_host[host] += 1
        settings = self.path(host, "json")
        settings.write_text(json.dumps(self.settings(host)))
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment |= {"POLLENROAD_SETTINGS": str(settings), "PYTHONPATH": "target/deps"}
        with self.log_by_host[host].open("ab") as log:
            self.process_by_host[host] = start_process(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def call_target(self, host: str) -> tuple[str, int]:
        """Return host and port of a daemon's `outbound` address."""
        name, _, port = self.address(host, CALL).rpartition(":")
        return name, int(port)

    def is_running(self, host: str) -> bool:
        """Return whether the daemon of a VM runs."""
        return self.process_by_host[host].poll() is None


class Record:
    """Lines of `record.txt` in the folder of a case, also printed."""

    def __init__(self, case: str):
        self._file = (Path(case).resolve().parent / "record.txt").open("w")
        self._started = time.monotonic()
        self.add(f"TROUBLE={int(HAS_TROUBLE)}")

    def add(self, text: str) -> None:
        """Write one line with the time since the start."""
        line = f"{time.monotonic() - self._started:8.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def start_process(command: list[str], **options) -> subprocess.Popen:
    """Start a process, which is killed when the case is stopped."""
    process = subprocess.Popen(command, **options)
    _processes.append(process)
    return process


def _end(_number: int, _frame: object) -> None:
    """Kill the processes of a case that is stopped, and exit."""
    for process in _processes:
        if process.poll() is None:
            process.kill()
    os._exit(NOT_RUN)


def run_case(case: str, play: Callable[[Record], bool]) -> None:
    """Run a case and exit; `play` returns whether the rule was broken."""
    record = Record(case)
    signal.signal(signal.SIGTERM, _end)
    try:
        is_broken = play(record)
    except Exception as error:
        record.add(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    record.add("the rule was BROKEN" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)


def connect(target: tuple[str, int], receive_bytes: int = 0) -> socket.socket:
    """Open a connection, with a small receive buffer if `receive_bytes` is given."""
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(15.0)
    sock.connect(target)
    return sock


def head_of_request(method: str, path: str, request_id: str, deadline_ms: int, *more: str) -> bytes:
    """Return the head of a request; `more` are further header lines."""
    lines = (f"{method} {path} HTTP/1.1", "Host: shop.example", f"X-Attempt-Id: {request_id}",
             f"X-Deadline-Ms: {deadline_ms}", *more, "", "")  # fmt: skip
    return "\r\n".join(lines).encode()


def read_head(stream) -> tuple[str, dict[str, str]]:
    """Read the head of an answer; return its first line, and its fields by lower-case name.

    Raises:
        ConnectionError: If the connection ended before that.
    """
    first, fields = stream.readline().decode("latin-1").strip(), {}
    while (line := stream.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    if not line:
        raise ConnectionError("the connection ended within a head")
    return first, fields


def read_slowly(stream, count: int, bytes_per_s: float) -> bytes:
    """Read `count` bytes at a rate; return fewer if the connection ended."""
    parts, received, started = [], 0, time.monotonic()
    while received < count:
        data = stream.read1(min(16_384, count - received))
        if not data:
            break
        parts.append(data)
        received += len(data)
        time.sleep(max(0.0, started + received / bytes_per_s - time.monotonic()))
    return b"".join(parts)
