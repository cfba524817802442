"""Replay of a trace: the same cores, driven by the recorded events and times.

No I/O and no clock of its own: the same trace gives the same facts every time.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from pollenroad.boundary import (
    Action,
    AnswerCall,
    CancelAtServer,
    DocumentInForce,
    Event,
    RunAtServer,
    SendPeer,
    Tick,
)
from pollenroad.cores import make_cores
from pollenroad.messages import Attempt, AttemptAnswer
from pollenroad.relay.relay import RelaySettings
from pollenroad.traces import (
    Answered,
    Attempts,
    Cancelled,
    EventLine,
    Header,
    InFlight,
    InForce,
    Refused,
    Runs,
    Sent,
    StatedOutcome,
    TraceError,
    Unanswered,
    decode_event,
)
from pollenroad.verdicts import Verdict

TICKS_BETWEEN_EVENTS = 100_000
"""Ticks added between two events at the most; more mean that the cores ask for ticks for ever."""


@dataclass
class Facts:
    """What the cores did so far."""

    answers_by_call: dict[str, list[AnswerCall]] = field(default_factory=lambda: defaultdict(list))
    runs: Counter = field(default_factory=Counter)
    cancels: Counter = field(default_factory=Counter)
    refusal_by_attempt: dict[str, str] = field(default_factory=dict)
    attempts_by_request: Counter = field(default_factory=Counter)
    attempts_by_peer: Counter = field(default_factory=Counter)
    sent: Counter = field(default_factory=Counter)
    version_by_key: Counter = field(default_factory=Counter)
    most_in_flight: int = 0

    def note(self, action: Action) -> None:
        """Take one action."""
        match action:
            case AnswerCall(call_id):
                self.answers_by_call[call_id].append(action)
            case RunAtServer(attempt):
                self.runs[attempt.attempt_id] += 1
            case CancelAtServer(attempt_id):
                self.cancels[attempt_id] += 1
            case DocumentInForce(document):
                self.version_by_key[document.key] = document.version
            case SendPeer(peer, message):
                self.sent[message.__struct_config__.tag] += 1
                self._note_message(peer, message)

    def _note_message(self, peer: str, message) -> None:
        match message:
            case Attempt(request_id=request_id):
                self.attempts_by_request[request_id] += 1
                self.attempts_by_peer[peer] += 1
            case AttemptAnswer(attempt_id=attempt_id, verdict=Verdict.NOT_RUN.value):
                self.refusal_by_attempt[attempt_id] = message.reason


def judge(outcome: StatedOutcome, facts: Facts) -> str:
    """Return what differs from a stated outcome, or an empty string."""
    match outcome:
        case Answered():
            return _judge_answer(outcome, facts.answers_by_call[outcome.call_id])
        case Unanswered(call_id=call_id):
            return _differs(f"answers to {call_id}", 0, len(facts.answers_by_call[call_id]))
        case Runs(attempt_id=attempt_id, count=count):
            return _differs(f"runs of {attempt_id}", count, facts.runs[attempt_id])
        case Refused(attempt_id=attempt_id, reason=reason):
            got = facts.refusal_by_attempt.get(attempt_id, "no refusal")
            return _differs(f"refusal of {attempt_id}", reason, got)
        case Attempts(count=count, request_id=request_id, peer=peer):
            by_peer, by_request = facts.attempts_by_peer[peer], facts.attempts_by_request
            got = by_peer if peer else by_request[request_id]
            return _differs(f"attempts for {peer or request_id}", count, got)
        case Sent(message=message, count=count, at_most=at_most):
            got = facts.sent[message]
            is_met = at_most and got <= count
            return "" if is_met else _differs(f"messages {message}", count, got)
        case Cancelled(attempt_id=attempt_id, count=count):
            return _differs(f"cancellations of {attempt_id}", count, facts.cancels[attempt_id])
        case InForce(key=key, version=version):
            return _differs(f"version in force of {key}", version, facts.version_by_key[key])
        case InFlight(at_most=at_most):
            most = facts.most_in_flight
            return f"in flight at most {at_most}, but {most}" if most > at_most else ""


def _differs(what: str, stated: object, got: object) -> str:
    return "" if stated == got else f"{what}: stated {stated}, got {got}"


def _judge_answer(stated: Answered, answers: list[AnswerCall]) -> str:
    what = f"answer to {stated.call_id}"
    if len(answers) != 1:
        return _differs(f"answers to {stated.call_id}", 1, len(answers))
    (answer,) = answers
    body = answer.response.body.decode(errors="replace") if answer.response else ""
    parts = [_differs(f"{what}, verdict", stated.verdict, answer.verdict.value)]
    if stated.reason is not None:
        parts.append(_differs(f"{what}, reason", stated.reason, answer.reason))
    if stated.body is not None:
        parts.append(_differs(f"{what}, body", stated.body, body))
    return "; ".join(part for part in parts if part)


@dataclass(frozen=True, slots=True)
class Replayed:
    """What a replay came to."""

    events: int
    outcomes: int
    differences: tuple[str, ...]


class _Replay:
    def __init__(self, header: Header):
        self._header = header
        self._now = header.start
        settings = RelaySettings(
            vm=header.vm,
            address=header.address,
            failure_domain=header.failure_domain,
            incarnation=header.relay_incarnation,
            service=header.service,
            seeds=header.seeds,
            fleet_hint=header.fleet_hint,
            wall_offset_s=header.wall_offset_s,
        )
        rng = random.Random(header.incarnation)
        self._cores = make_cores(header.incarnation, header.service, settings, rng, header.start)
        self.facts = Facts()

    def take(self, line: EventLine) -> None:
        if line.at < self._now:
            raise TraceError(f"time {line.at} is before {self._now}")
        if self._header.ticks:
            self._tick_until(line.at)
        self._handle(decode_event(line), line.at)

    def _tick_until(self, end: float) -> None:
        for _ in range(TICKS_BETWEEN_EVENTS):
            due = self._cores.next_due()
            if due is None or due >= end:
                return
            self._handle(Tick(), max(due, self._now))
        raise TraceError(f"the cores ask for ticks without end before {end}")

    def _handle(self, event: Event, now: float) -> None:
        self._now = now
        for action in self._cores.handle(event, now):
            self.facts.note(action)
        in_flight = self._cores.guard.in_flight
        self.facts.most_in_flight = max(self.facts.most_in_flight, in_flight)


def _differences(replay: _Replay, lines: Iterable, counts: Counter) -> Iterator[str]:
    for line in lines:
        match line:
            case EventLine():
                counts["events"] += 1
                replay.take(line)
            case _:
                counts["outcomes"] += 1
                if difference := judge(line, replay.facts):
                    yield difference


def replay(header: Header, lines: Iterable[EventLine | StatedOutcome]) -> Replayed:
    """Drive the cores of a trace and judge each outcome where it stands.

    Raises:
        TraceError: If an event is not well formed or goes back in time.
    """
    counts: Counter = Counter()
    differences = tuple(_differences(_Replay(header), lines, counts))
    return Replayed(counts["events"], counts["outcomes"], differences)
