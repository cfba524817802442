"""What the scripts of the cases share: daemons started by the deploy file, stand-ins, a record.

The store and the servers are the project's own stand-ins of `tests.users`. The daemons are started
by the `run` line of deploy/system.toml, from the root of the repository, with the settings that
platform/settings.json lays out and the bounds of the smallest site.
"""

import json
import os
import signal
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

from tests.users.fleet import ROOT, UsersFleet
from tests.users.raw_http import connect, read_message, request_bytes

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_RUN_S = 110
STARTED: list[subprocess.Popen] = []
RUN = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["proxy"]["run"].split()


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, case: Path):
        self._file = (case / "record.txt").open("w")
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
            self._file.flush()


class Deployment(UsersFleet):
    """A small deployment whose daemons run as the deploy file says."""

    def settings(self, host: str) -> dict:
        """Return the settings of a daemon, with the bounds of sites/mrrc-mesh.toml."""
        return super().settings(host) | {
            "grace": "6s",
            "change_bound": "2000ms",
            "retry_window": "10s",
            "cold_factor": 1.5,
            "cold_slack": 5,
        }

    def start(self, host: str) -> None:
        """Start the daemon of a VM by the run line of the deploy file."""
        self.starts_by_host[host] += 1
        settings = self.path(host, "json")
        settings.write_text(json.dumps(self.settings(host)))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {"POLLENROAD_SETTINGS": str(settings), "PYTHONPATH": "target/deps"}
        with self.log_by_host[host].open("ab") as log:
            process = subprocess.Popen(RUN, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.process_by_host[host] = process
        STARTED.append(process)


class Answer:
    """The answer to one request, or that there was none."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, seconds: float):
        self.status, self.headers, self.body, self.seconds = status, headers, body, seconds

    @property
    def is_own(self) -> bool:
        """Whether the daemon itself made it."""
        return "x-response-signature" not in self.headers


NO_ANSWER = 0


def ask(address: str, method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b"",
        sock=None, wait_s: float | None = None) -> Answer:  # fmt: skip
    """Send one request, on a new connection or `sock`; status 0 if no answer came in time."""
    started = time.monotonic()
    own = sock is None
    try:
        sock = sock or connect(address)
        sock.settimeout(wait_s or deadline_ms / 1000)
        headers = {"Host": "shop.example", "X-Attempt-Id": request_id,
                   "X-Deadline-Ms": str(deadline_ms)}  # fmt: skip
        sock.sendall(request_bytes(method, path, headers, body))
        message = read_message(sock.makefile("rb"))
    except OSError as error:
        return Answer(NO_ANSWER, {}, repr(error).encode(), time.monotonic() - started)
    finally:
        if own and sock is not None:
            sock.close()
    seconds = time.monotonic() - started
    if message is None:
        return Answer(NO_ANSWER, {}, b"closed", seconds)
    return Answer(int(message[0].split()[1]), message[1], message[2], seconds)


def main(run) -> None:
    """Run a case and exit with its result.

    Args:
        run: Gets the record; returns whether the rule was broken.
    """
    case = Path(sys.argv[0]).resolve().parent
    record = Record(case)

    def expired(_number, _frame) -> None:
        record.write(f"could not run: took more than {LONGEST_RUN_S} s")
        for process in STARTED:
            process.kill()
        os._exit(COULD_NOT_RUN)

    signal.signal(signal.SIGALRM, expired)
    signal.alarm(LONGEST_RUN_S)
    record.write(f"TROUBLE={int(TROUBLE)}")
    try:
        result = BROKEN if run(record) else HELD
    except Exception as error:
        record.write(f"could not run: {error!r}")
        result = COULD_NOT_RUN
    for process in STARTED:
        if process.poll() is None:
            process.kill()
        process.wait()
    record.write(f"result {result}")
    sys.stdout.flush()
    os._exit(result)
