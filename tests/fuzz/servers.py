"""A fake server: it runs requests on the fake clock, crashes, turns cold, and lies."""

from dataclasses import dataclass, field

from pollenroad.boundary import ServerAnswered, ServerFailed, ServerLost, ServerProbed, ServerShed
from pollenroad.guard.coldstart import SERVER_RESET, SERVER_UNREACHABLE
from pollenroad.messages import Attempt, Response

from .oracle import whole_answer

SERVICE_S = 0.02
PROBE_S = 0.006


@dataclass
class FakeServer:
    """What the server beside one guard does with requests."""

    world: object
    vm: str
    mode: str = "normal"
    """`normal`, `slow`, `stuck`, `shed`, `draining`, `cut-short` or `failing`."""
    is_up: bool = True
    incarnation: int = 1
    running_by_attempt: dict[str, int] = field(default_factory=dict)
    """Serial of each run, so that a late completion of an ended one is told apart."""
    _serial: int = 0
    _probes: set[int] = field(default_factory=set)

    @property
    def in_flight(self) -> int:
        return len(self.running_by_attempt) + len(self._probes)

    def run(self, attempt: Attempt, timeout_s: float) -> None:
        refusal = self._refusal(attempt.attempt_id)
        if refusal is not None:
            self.world.post_later(0.0005, self.vm, refusal)
            return
        self._serial += 1
        self.running_by_attempt[attempt.attempt_id] = self._serial
        self.world.server_started(self, attempt)
        service_s = SERVICE_S * self.world.rng.uniform(0.5, 1.5)
        if self.mode == "slow":
            service_s *= 20
        if self.mode == "stuck" or service_s > timeout_s:
            self._finish_later(timeout_s, attempt, False)
        else:
            self._finish_later(service_s, attempt, True)

    def _refusal(self, attempt_id: str):
        if not self.is_up:
            return ServerFailed(attempt_id, reached=False, reason=SERVER_UNREACHABLE)
        if self.mode in ("shed", "draining"):
            return ServerShed(attempt_id, self.mode == "draining")
        return None

    def _finish_later(self, seconds: float, attempt: Attempt, is_done: bool) -> None:
        serial = self.running_by_attempt[attempt.attempt_id]

        def finish():
            if self.running_by_attempt.get(attempt.attempt_id) == serial:
                del self.running_by_attempt[attempt.attempt_id]
                self.world.post(self.vm, self._outcome(attempt, is_done))

        self.world.later(seconds, finish)

    def _outcome(self, attempt: Attempt, is_done: bool):
        if not is_done:
            return ServerFailed(attempt.attempt_id, reached=True, reason="deadline")
        if self.mode == "cut-short":
            return ServerFailed(attempt.attempt_id, reached=True, reason="server-IncompleteRead")
        status = 500 if self.mode == "failing" else 200
        headers = (("X-Server-Incarnation", str(self.incarnation)),)
        body = whole_answer(attempt.request_id)
        return ServerAnswered(attempt.attempt_id, Response(status, headers, body))

    def cancel(self, attempt_id: str) -> None:
        if self.running_by_attempt.pop(attempt_id, None) is not None:
            self.world.post(self.vm, ServerFailed(attempt_id, True, "cancelled"))

    def probe(self, timeout_s: float) -> None:
        self._serial += 1
        serial = self._serial
        self._probes.add(serial)
        seconds = timeout_s if self.mode == "stuck" else PROBE_S
        incarnation = self.incarnation

        def finish():
            if serial not in self._probes:
                return
            self._probes.discard(serial)
            draining = self.mode == "draining"
            ok = self.is_up and self.mode != "stuck" and incarnation == self.incarnation
            stated = str(self.incarnation) if ok and not draining else ""
            self.world.post(self.vm, ServerProbed(ok, stated, draining))

        self.world.later(seconds, finish)

    def crash(self) -> None:
        """Break every connection; requests in flight have an unknown fate."""
        self.is_up = False
        for attempt_id in list(self.running_by_attempt):
            del self.running_by_attempt[attempt_id]
            self.world.post(self.vm, ServerFailed(attempt_id, True, SERVER_RESET))
        self.world.post(self.vm, ServerLost())

    def restart(self) -> None:
        """Come up again, cold and with another incarnation."""
        if not self.is_up:
            self.is_up = True
            self.incarnation += 1

    def connections_closed(self) -> None:
        """The daemon died: the server drops what it ran for it."""
        self.running_by_attempt.clear()
        self._probes.clear()
