"""Recording of a trace by a running daemon: bounded, without bodies, headers or query strings."""

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
"""Longest recording; what happens afterwards is left out."""


def without_content(event: Event) -> Event:
    """Return an event without what callers and servers say: bodies, headers, query strings."""
    match event:
        case CallArrived():
            return dataclasses.replace(event, request=_bare_request(event.request))
        case PeerReceived(peer, Attempt() as attempt):
            bare = msgspec.structs.replace(attempt, request=_bare_request(attempt.request))
            return PeerReceived(peer, bare)
        case PeerReceived(peer, AttemptAnswer(response=Response()) as answer):
            bare = msgspec.structs.replace(answer, response=_bare_response(answer.response))
            return PeerReceived(peer, bare)
        case ServerAnswered(attempt_id, response):
            return ServerAnswered(attempt_id, _bare_response(response))
    return event


def _bare_request(request: Request) -> Request:
    return Request(request.method, request.path.partition("?")[0])


def _bare_response(response: Response) -> Response:
    kept = tuple(pair for pair in response.headers if pair[0].lower() == INCARNATION_HEADER)
    return Response(response.status, kept)


class Recorder:
    """Writes the events of one daemon to a file, and what came of them as stated outcomes.

    Args:
        path: File to write; it is replaced.
        header: First line of the trace.
    """

    def __init__(self, path: Path, header: Header):
        self._file = path.open("wb")
        self._room = MAX_RECORDED_BYTES
        self._write(msgspec.json.encode(header))

    def event(self, event: Event, now: float) -> None:
        """Record one event, before the cores take it."""
        self._write(encode_event(without_content(event), now))

    def action(self, action: Action) -> None:
        """Record what an action states about the outcome."""
        match action:
            case AnswerCall(call_id, verdict, reason):
                stated = Answered(call_id=call_id, verdict=verdict.value, reason=reason)
            case RunAtServer(attempt):
                stated = Runs(attempt_id=attempt.attempt_id, count=1)
            case DocumentInForce(document):
                stated = InForce(key=document.key, version=document.version)
            case _:
                return
        self._write(msgspec.json.encode(stated))

    def close(self) -> None:
        """End the recording."""
        self._room = 0
        self._file.close()

    def _write(self, line: bytes) -> None:
        if len(line) >= self._room:
            self._room = 0
            return
        self._room -= len(line) + 1
        self._file.write(line + b"\n")


def make_recorder(path: str, settings: RelaySettings, incarnation: str, start: float) -> Recorder:
    """Make the recorder of one daemon.

    Args:
        path: File to write; it is replaced.
        settings: Who the daemon is.
        incarnation: Prefix of its attempt ids.
        start: Monotonic time at which its cores were made, in seconds.

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
