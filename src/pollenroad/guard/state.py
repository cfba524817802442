"""The state of a guard: its name, and a sentence that explains it to operators."""

from dataclasses import dataclass

from pollenroad.guard import availability
from pollenroad.guard.capacity import Capacity


@dataclass(frozen=True, slots=True)
class GuardView:
    """The values from which the state of a guard is derived."""

    closed_reason: str
    """Reason why the guard takes no new work, or an empty string."""
    in_flight: int
    slots: int
    capacity: Capacity | None
    """None while no document is in force."""

    @property
    def state(self) -> str:
        """`out`, `draining`, `drained`, `down`, `cold` or `serving`."""
        match self.closed_reason:
            case availability.LEAVING:
                return "draining" if self.in_flight else "drained"
            case availability.OUT_OF_SERVICE | availability.NOT_HERE:
                return "out"
        if self.capacity.is_down:
            return "down"
        return "cold" if self.capacity.is_cold else "serving"

    def why(self, now: float) -> str:
        """Return a sentence that explains the state."""
        match self.state:
            case "out" if self.closed_reason == availability.NOT_HERE:
                return "out: no document in force names this VM as an endpoint"
            case "out":
                return f"out: operators took it out of service, {self.in_flight} still in flight"
            case "draining":
                return f"draining: takes no new work, {self.in_flight} still in flight"
            case "drained":
                return "drained: takes no new work, nothing in flight"
            case "down":
                next_s = self.capacity.backoff_remaining_s(now)
                return f"down: the server refuses all work, next trial in {next_s:.1f} s"
            case "cold":
                return (
                    f"cold since {self.capacity.cold_reason}: {self._admits(now)} for another "
                    f"{self.capacity.ramp_remaining_s():.0f} s of service"
                )
        return f"serving: {self._admits(now)}"

    def _admits(self, now: float) -> str:
        return f"admits {self.capacity.bound(now)} of {self.slots}"
