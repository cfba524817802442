"""Replay of a trace: feeds the recorded events and times to the cores of a daemon.

Replay reads no clock, so the same trace always gives the same result.
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

MAX_TICKS_BETWEEN_EVENTS = 100_000
"""Most ticks between two events; more mean that the cores request ticks without end."""


@dataclass
class ObservedActions:
    """Actions of the cores so far, counted by type and subject."""

    answers_by_call: dict[str, list[AnswerCall]] = field(default_factory=lambda: defaultdict(list))
    runs: Counter = field(default_factory=Counter)
    cancels: Counter = field(default_factory=Counter)
    refusal_by_attempt: dict[str, str] = field(default_factory=dict)
    attempts_by_request: Counter = field(default_factory=Counter)
    attempts_by_peer: Counter = field(default_factory=Counter)
    sent: Counter = field(default_factory=Counter)
    version_by_key: Counter = field(default_factory=Counter)
    most_in_flight: int = 0

    def record(self, action: Action) -> None:
        """Record one action."""
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
                self._record_message(peer, message)

    def _record_message(self, peer: str, message) -> None:
        match message:
            case Attempt(request_id=request_id):
                self.attempts_by_request[request_id] += 1
                self.attempts_by_peer[peer] += 1
            case AttemptAnswer(attempt_id=attempt_id, verdict=Verdict.NOT_RUN.value):
                self.refusal_by_attempt[attempt_id] = message.reason


def find_difference(outcome: StatedOutcome, observed: ObservedActions) -> str:
    """Return how the actions differ from an expected outcome; empty if they agree."""
    match outcome:
        case Answered():
            return _find_answer_difference(outcome, observed.answers_by_call[outcome.call_id])
        case Unanswered(call_id=call_id):
            return _describe_difference(
                f"answers to {call_id}", 0, len(observed.answers_by_call[call_id])
            )
        case Runs(attempt_id=attempt_id, count=count):
            return _describe_difference(f"runs of {attempt_id}", count, observed.runs[attempt_id])
        case Refused(attempt_id=attempt_id, reason=reason):
            got = observed.refusal_by_attempt.get(attempt_id, "no refusal")
            return _describe_difference(f"refusal of {attempt_id}", reason, got)
        case Attempts(count=count, request_id=request_id, peer=peer):
            by_peer, by_request = observed.attempts_by_peer[peer], observed.attempts_by_request
            got = by_peer if peer else by_request[request_id]
            return _describe_difference(f"attempts for {peer or request_id}", count, got)
        case Sent(message=message, count=count, at_most=at_most):
            got = observed.sent[message]
            is_met = at_most and got <= count
            return "" if is_met else _describe_difference(f"messages {message}", count, got)
        case Cancelled(attempt_id=attempt_id, count=count):
            return _describe_difference(
                f"cancellations of {attempt_id}", count, observed.cancels[attempt_id]
            )
        case InForce(key=key, version=version):
            return _describe_difference(
                f"version in force of {key}", version, observed.version_by_key[key]
            )
        case InFlight(at_most=at_most):
            most = observed.most_in_flight
            return f"in flight at most {at_most}, but {most}" if most > at_most else ""


def _describe_difference(what: str, stated: object, got: object) -> str:
    return "" if stated == got else f"{what}: stated {stated}, got {got}"


def _find_answer_difference(stated: Answered, answers: list[AnswerCall]) -> str:
    what = f"answer to {stated.call_id}"
    if len(answers) != 1:
        return _describe_difference(f"answers to {stated.call_id}", 1, len(answers))
    (answer,) = answers
    body = answer.response.body.decode(errors="replace") if answer.response else ""
    parts = [_describe_difference(f"{what}, verdict", stated.verdict, answer.verdict.value)]
    if stated.reason is not None:
        parts.append(_describe_difference(f"{what}, reason", stated.reason, answer.reason))
    if stated.body is not None:
        parts.append(_describe_difference(f"{what}, body", stated.body, body))
    return "; ".join(part for part in parts if part)


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Numbers of events and outcomes in a trace, and the outcomes that were not met."""

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
        self.observed = ObservedActions()

    def apply(self, line: EventLine) -> None:
        if line.at < self._now:
            raise TraceError(f"time {line.at} is before {self._now}")
        if self._header.ticks:
            self._send_ticks_until(line.at)
        self._handle(decode_event(line), line.at)

    def _send_ticks_until(self, end: float) -> None:
        for _ in range(MAX_TICKS_BETWEEN_EVENTS):
            due = self._cores.next_due()
            if due is None or due >= end:
                return
            self._handle(Tick(), max(due, self._now))
        raise TraceError(f"the cores ask for ticks without end before {end}")

    def _handle(self, event: Event, now: float) -> None:
        self._now = now
        for action in self._cores.handle(event, now):
            self.observed.record(action)
        in_flight = self._cores.guard.in_flight
        self.observed.most_in_flight = max(self.observed.most_in_flight, in_flight)


def _iter_differences(replay: _Replay, lines: Iterable, counts: Counter) -> Iterator[str]:
    for line in lines:
        match line:
            case EventLine():
                counts["events"] += 1
                replay.apply(line)
            case _:
                counts["outcomes"] += 1
                if difference := find_difference(line, replay.observed):
                    yield difference


def replay(header: Header, lines: Iterable[EventLine | StatedOutcome]) -> ReplayResult:
    """Feed a trace to the cores; check each outcome at its position in the trace.

    Raises:
        TraceError: If an event is malformed or earlier than the one before it.
    """
    counts: Counter = Counter()
    differences = tuple(_iter_differences(_Replay(header), lines, counts))
    return ReplayResult(counts["events"], counts["outcomes"], differences)
