"""Without a ranked route that must not run twice, every decision is as before load shedding."""

import hashlib
import random
import unittest

from pollenroad.bench.simulated_fleet import (
    Clock,
    SimulatedFleet,
    SimulatedServer,
    make_configuration,
    make_request,
)
from pollenroad.boundary import AnswerCall, Record, SendPeer
from pollenroad.proxy.boundary import TellLoad
from pollenroad.proxy.load_datagrams import encode_report

BEFORE = "c3bbc786f2df0932"
"""Digest of the decisions of the code before load shedding (commit ad3bdfd) for the same events,
but with later deadlines: servers get the time that was reserved for the answer until then."""


def _text(number: int, action) -> str:
    match action:
        case Record(event, fields):
            return f"{number} {event} {fields}"
        case AnswerCall():
            return f"{number} {action.call_id} {action.reason} {action.retry_after_ms:.6f}"
        case SendPeer(peer, message):
            return f"{number} {peer} {type(message).__name__} {getattr(message, 'reason', '')}"
        case TellLoad(hosts, report):
            return f"{number} {hosts} {encode_report(report).hex()}"
    return f"{number} {type(action).__name__}"


class RecordingFleet(SimulatedFleet):
    def _perform(self, number: int, action) -> None:
        self.lines.append(_text(number, action))
        super()._perform(number, action)


def play() -> list[str]:
    """Overload five servers, of which one is slow for a while and all reject for two seconds."""
    rng, clock = random.Random(7), Clock()
    servers = [
        SimulatedServer(
            "booking", 4, rejects=lambda now: 2.0 <= now < 4.0 and rng.random() < 0.5,
            slowdown=(lambda now: 4.0 if 5.0 <= now < 6.0 else 1.0) if n == 1 else lambda now: 1.0,
        )
        for n in range(5)
    ]  # fmt: skip
    configuration = make_configuration(1.5, 0.4, max_attempts=3)
    fleet = RecordingFleet(clock, servers, configuration, lambda answer: None, 1)
    fleet.lines = []
    for number in range(2000):
        work_s = 0.04 + 0.12 * rng.random()
        request = make_request(f"c{number}", work_s, rng.random() < 0.7, 1.5)
        daemon, at = rng.randrange(5), 0.5 + number / (250 if number < 1000 else 400)
        clock.at(at, lambda d=daemon, r=request: fleet.arrive(d, r))
    fleet.run(9.0)
    return fleet.lines


class UnrankedTest(unittest.TestCase):
    def test_the_same_events_give_the_same_actions_as_before(self):
        lines = play()
        text = "\n".join(lines)
        for expected in ("shed", "overloaded", "slow", "'why', 'hedge'", "'why', 'retry'"):
            self.assertIn(expected, text)
        self.assertEqual(hashlib.sha256(text.encode()).hexdigest()[:16], BEFORE)


if __name__ == "__main__":
    unittest.main()
