"""Records a trace of a running daemon: of limited size, without content of callers or servers."""

import dataclasses
from pathlib import Path

import msgspec

from pollenroad.boundary import (
    Action,
    AnswerCall,
    CallArrived,
    DocumentInForce,
    Event,
    PeerReceived,
    RunAtServer,
    ServerAnswered,
)
from pollenroad.guard.capacity import INCARNATION_HEADER
from pollenroad.messages import Attempt, AttemptAnswer, Request, Response
from pollenroad.relay.relay import RelaySettings
from pollenroad.traces import TRACE_VERSION, Answered, Header, InForce, Runs, encode_event

MAX_RECORDED_BYTES = 16_777_216
"""Maximum size of a recording, in bytes; later events and outcomes are not recorded."""


def without_content(event: Event) -> Event:
    """Return an event without bodies, query strings and headers; the incarnation header is kept."""
    match event:
        case CallArrived():
            return dataclasses.replace(event, request=_redacted_request(event.request))
        case PeerReceived(peer, Attempt() as attempt):
            redacted = msgspec.structs.replace(attempt, request=_redacted_request(attempt.request))
            return PeerReceived(peer, redacted)
        case PeerReceived(peer, AttemptAnswer(response=Response()) as answer):
            redacted = msgspec.structs.replace(answer, response=_redacted_response(answer.response))
            return PeerReceived(peer, redacted)
        case ServerAnswered(attempt_id, response):
            return ServerAnswered(attempt_id, _redacted_response(response))
    return event


def _redacted_request(request: Request) -> Request:
    return Request(request.method, request.path.partition("?")[0])


def _redacted_response(response: Response) -> Response:
    kept = tuple(pair for pair in response.headers if pair[0].lower() == INCARNATION_HEADER)
    return Response(response.status, kept)


class Recorder:
    """Writes the events of one daemon and their outcomes to a trace file.

    Args:
        path: Path of the file; an existing file is replaced.
        header: First line of the trace.
    """

    def __init__(self, path: Path, header: Header):
        self._file = path.open("wb")
        self._remaining_bytes = MAX_RECORDED_BYTES
        self._write(msgspec.json.encode(header))

    def record_event(self, event: Event, now: float) -> None:
        """Record one event, before the cores handle it."""
        self._write(encode_event(without_content(event), now))

    def record_action(self, action: Action) -> None:
        """Record the outcome that an action states, if any."""
        match action:
            case AnswerCall(call_id, verdict, reason):
                outcome = Answered(call_id=call_id, verdict=verdict.value, reason=reason)
            case RunAtServer(attempt):
                outcome = Runs(attempt_id=attempt.attempt_id, count=1)
            case DocumentInForce(document):
                outcome = InForce(key=document.key, version=document.version)
            case _:
                return
        self._write(msgspec.json.encode(outcome))

    def close(self) -> None:
        """End the recording."""
        self._remaining_bytes = 0
        self._file.close()

    def _write(self, line: bytes) -> None:
        if len(line) >= self._remaining_bytes:
            self._remaining_bytes = 0
            return
        self._remaining_bytes -= len(line) + 1
        self._file.write(line + b"\n")


def make_recorder(path: str, settings: RelaySettings, incarnation: str, start: float) -> Recorder:
    """Open the trace file of one daemon and return its recorder.

    Args:
        path: Path of the file; an existing file is replaced.
        settings: Identity of the daemon.
        incarnation: Prefix of its attempt ids.
        start: Monotonic time at which its cores were created, in seconds.

    Raises:
        OSError: If the file cannot be opened.
    """
    header = Header(
        trace=TRACE_VERSION,
        about=f"Recorded by {settings.vm}.",
        vm=settings.vm,
        address=settings.address,
        failure_domain=settings.failure_domain,
        service=settings.service,
        incarnation=incarnation,
        relay_incarnation=settings.incarnation,
        seeds=settings.seeds,
        fleet_hint=settings.fleet_hint,
        wall_offset_s=settings.wall_offset_s,
        start=start,
    )
    return Recorder(Path(path), header)
