"""What the scripts of the second review share: daemons run as the deploy file says, and a record.

Only the standard library and the project's stand-ins in `tests/users` are used.
"""

import json
import os
import shlex
import signal
import subprocess
import sys
import threading
import time
import tomllib
import types
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# The package `tests` itself imports gevent, which the stand-ins do not need.
_package = types.ModuleType("tests")
_package.__path__ = [str(ROOT / "tests")]
sys.modules["tests"] = _package

from tests.users import fleet as users_fleet  # noqa: E402
from tests.users.fleet import UsersFleet, await_condition, configuration  # noqa: E402
from tests.users.raw_http import read_message, request_bytes  # noqa: E402

__all__ = ["Record", "ReviewFleet", "await_condition", "configuration", "connect_call", "finish"]

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of a case is played."""

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()
        self.add(f"trouble: {'yes' if HAS_TROUBLE else 'no'}")

    def add(self, line: str) -> None:
        """Write one line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f} s  {line}\n")
            self._file.flush()


class ReviewFleet(UsersFleet):
    """A fleet whose daemons are started by the `run` line of the deploy file.

    Args:
        count: Number of machines.
        subnet: Third byte of their addresses.
        grace: Time between SIGTERM and SIGKILL.
        services: Services, assigned to the machines in turn.
    """

    def __init__(self, count: int, subnet: int, grace: str = "6s", services=("alpha",)):
        super().__init__(count, subnet, services)
        self._grace = grace

    def settings(self, host: str) -> dict:
        """Return the settings, as `platform/settings.json` renders them."""
        return super().settings(host) | {
            "grace": self._grace,
            "change_bound": "2000ms",
            "retry_window": "10s",
            "cold_factor": 1.5,
            "cold_slack": 5,
        }

    def start(self, host: str) -> None:
        """Start the daemon of a machine."""
        self.starts_by_host[host] += 1
        settings = self.path(host, "json")
        settings.write_text(json.dumps(self.settings(host)))
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["POLLENROAD_SETTINGS"] = str(settings)
        with self.log_by_host[host].open("ab") as log:
            self.process_by_host[host] = subprocess.Popen(
                shlex.split(roles["proxy"]["run"]), cwd=ROOT, env=environment,
                stdout=log, stderr=log,
            )  # fmt: skip

    def call_address(self, host: str) -> tuple[str, int]:
        """Return the address to which the clients on a machine send their requests."""
        return host, self._ports[users_fleet.CALL]

    def ready_address(self, host: str) -> tuple[str, int]:
        """Return the address of a daemon's readiness page."""
        return host, self._ports[users_fleet.READY]

    def stop(self, host: str) -> None:
        """Send SIGTERM to the daemon of a machine."""
        self.signal(host, signal.SIGTERM)


def connect_call(sock, method: str, path: str, attempt: str, deadline_ms: int, body: bytes = b""):
    """Make one request on an open connection; return the status, headers and body of its answer.

    Raises:
        ConnectionError: If the connection ends without a whole answer.
    """
    headers = {
        "Host": "shop.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms)
    }  # fmt: skip
    sock.sendall(request_bytes(method, path, headers, body))
    message = read_message(sock.makefile("rb"))
    if message is None:
        raise ConnectionError("closed without an answer")
    first, fields, content = message
    return int(first.split()[1]), fields, content


def finish(run) -> None:
    """Run a script and exit with its result; a script that cannot run, or is ended, exits with 2."""

    def end(_number, _frame) -> None:
        raise TimeoutError("ended by a signal")  # So that the script ends its processes.

    signal.signal(signal.SIGTERM, end)
    try:
        code = run()
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.stdout.flush()
    os._exit(code)  # Threads of stand-ins may still wait for a connection.
