"""Guarantees that the soak checks from outside, after its faults have ended."""

import json
import time
from dataclasses import dataclass

from tests.users.fleet import UsersFleet, await_condition

DRAIN_S = 2.0
"""Time after which a draining server gets no new requests, by the users' specification, in
seconds."""

QUIET_S = 3.0
"""Time without faults after which time limits apply to daemons, in seconds."""

RECOVERY_S = 15.0
"""Time after the last fault within which every daemon must serve again, in seconds."""

NOT_RUN_STATUSES = ("408", "421", "429", "503")
"""Statuses that guarantee that the request has not run."""

LIMIT_PER_S = 3
LIMIT_WINDOW_S = 4.0
LIMIT_ALLOWED = 1.5 * LIMIT_WINDOW_S * LIMIT_PER_S + 5
"""Requests that a server with this limit may get in any such window."""


@dataclass
class ClientRequest:
    """A request of a client and its result."""

    host: str
    is_idempotent: bool
    at: float
    """Time of sending on the monotonic clock, in seconds."""
    path: str
    size: int
    """Length of the body, in bytes."""
    status: str = ""
    ended: float = 0.0
    """Time of the answer on the monotonic clock, in seconds."""


@dataclass
class Checks:
    """Checks of one run; what they find is added to its violations."""

    seed: int
    fleet: UsersFleet
    request_by_id: dict[str, ClientRequest]
    violations: list[str]

    def check_recovery(self) -> None:
        """Check that every daemon serves again within `RECOVERY_S` after the last fault."""
        try:
            for host in self.fleet.hosts:
                await_condition(lambda host=host: self._serves(host), RECOVERY_S)
        except AssertionError:
            self.violations.append(
                f"recover: {host} does not serve {RECOVERY_S:g} s after the faults"
            )

    def _serves(self, host: str) -> bool:
        try:
            for service in self.fleet.services:
                attempt = f"{self.seed}-end-{time.monotonic_ns()}"
                path = f"/{service}/read/1"
                self.request_by_id[attempt] = ClientRequest(host, True, time.monotonic(), path, 0)
                if self.fleet.request(host, path, attempt)[0] != 200:
                    return False
        except OSError:
            return False
        return True

    def check_drain(self) -> None:
        """Check, without other faults, that a draining server gets no new requests in time."""
        host = self.fleet.hosts[0]
        server = self.fleet.server_by_host[host]
        time.sleep(QUIET_S)
        if self.seed % 2:
            server.register("draining")
        else:
            server.statements = {"Server-Leaving": "1"}
        bound = time.monotonic() + DRAIN_S
        time.sleep(DRAIN_S + 1.0)
        late_arrivals = [at for at in server.arrived_at if at > bound]
        if late_arrivals:
            self.violations.append(
                f"drain: {len(late_arrivals)} requests reached {host} after {DRAIN_S:g} s"
            )

    def check_limit(self) -> None:
        """Check, without other faults, that a server gets no more than the limit that it states."""
        host = self.fleet.hosts[1]
        server = self.fleet.server_by_host[host]
        server.statements = {"Server-Limit": str(LIMIT_PER_S)}
        time.sleep(1.0)
        since = time.monotonic()
        time.sleep(LIMIT_WINDOW_S)
        count = sum(since <= at < since + LIMIT_WINDOW_S for at in server.arrived_at)
        if count > LIMIT_ALLOWED:
            self.violations.append(f"limit: {count} requests reached {host}")

    def check_configuration(self) -> None:
        """Check that every daemon has the newest configuration, and none went back to an older."""
        for host in self.fleet.hosts:
            versions: list[int] = []
            for line in self.fleet.log_by_host[host].read_text().splitlines():
                if '"event":"daemon_started"' in line:
                    versions.clear()
                if '"event":"configuration_in_force"' in line:
                    versions.append(json.loads(line)["version"])
            if versions != sorted(versions) or versions[-1:] != [self.fleet.version]:
                self.violations.append(f"configuration: {host} {versions} of {self.fleet.version}")

    def check_runs(self) -> None:
        """Check that no incomplete, unknown or refused request ran, and none ran twice.

        An idempotent request may have run twice, or before it was refused.
        """
        for server in self.fleet.server_by_host.values():
            self.violations += [
                f"unasked: {a} without deadline or caller" for a in server.incomplete_requests
            ]
        runs: dict[str, int] = {}
        for server in self.fleet.server_by_host.values():
            for attempt, count in server.runs.items():
                runs[attempt] = runs.get(attempt, 0) + count
        for attempt, count in runs.items():
            sent = self.request_by_id.get(attempt)
            if sent is None:
                self.violations.append(f"unasked: nobody sent {attempt}")
            elif not sent.is_idempotent and count > 1:
                self.violations.append(f"twice: {attempt} ran {count} times")
            elif not sent.is_idempotent and sent.status in NOT_RUN_STATUSES:
                self.violations.append(f"refused: {attempt} was answered {sent.status} and ran")
