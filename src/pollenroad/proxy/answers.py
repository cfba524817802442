"""Answers: what the end of an exchange proves, and refusals of requests that were not sent."""

from collections.abc import Iterator

from pollenroad.boundary import Action, AnswerCall, ServerAnswered, ServerFailed, ServerShed
from pollenroad.messages import AttemptAnswer, Response
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.calls import PEER_LOST, RETRY_AFTER_S, OpenCall
from pollenroad.proxy.fleet import EndpointView
from pollenroad.proxy.records import request_refused
from pollenroad.proxy.refusals import SHED
from pollenroad.proxy.workspaces.keys import UNKNOWN_KEY
from pollenroad.shell.long_links import NO_MEMORY
from pollenroad.verdicts import Verdict

DAEMON_FAULTS = frozenset({PEER_LOST, NO_MEMORY})
"""Reasons of unknown outcomes that are faults of a daemon or a link, not of the server."""

SERVER_ERROR = 500
"""Lowest HTTP status that counts as a server failure."""


def answer_of(event: ServerAnswered | ServerFailed | ServerShed) -> AttemptAnswer:
    """Return the answer to an attempt, given the end of its exchange."""
    match event:
        case ServerAnswered(attempt_id, response):
            verdict = Verdict.RAN.value
            return AttemptAnswer(attempt_id, verdict, response=response, reached_server=True)
        case ServerFailed(attempt_id, reached, reason):
            verdict = Verdict.UNKNOWN if reached else Verdict.NOT_RUN
            return AttemptAnswer(attempt_id, verdict.value, reason, reached_server=reached)
        case ServerShed(attempt_id):
            return AttemptAnswer(attempt_id, Verdict.NOT_RUN.value, SHED, reached_server=True)


def is_success(answer: AttemptAnswer) -> bool:
    """Return whether the answer has a response of the server with a status below 500."""
    return answer.response is not None and answer.response.status < SERVER_ERROR


def refuse(
    arrived: RequestArrived, reason: str, retry_after_s: float = RETRY_AFTER_S
) -> Iterator[Action]:
    """Refuse a request that was sent to no endpoint.

    Args:
        arrived: The request.
        reason: Reason code.
        retry_after_s: Pause that is stated to the caller, in seconds; 0 to state none.
    """
    yield request_refused(arrived, reason)
    retry_after_ms = retry_after_s * 1000
    yield AnswerCall(arrived.call_id, Verdict.NOT_RUN, reason, retry_after_ms=retry_after_ms)


def answer_to(
    call: OpenCall,
    verdict: Verdict,
    reason: str,
    response: Response | None,
    view: EndpointView | None,
) -> AnswerCall:
    """Return the answer to a request, given the end of its last attempt.

    A response of a server counts as run. After an unknown end, a refusal is told as unknown. A
    request whose key was removed is not told to return.
    """
    response = response or call.error_response
    if response is not None:
        verdict = Verdict.RAN
    elif verdict is Verdict.NOT_RUN and call.may_have_run:
        verdict = Verdict.UNKNOWN
    if call.is_revoked and verdict is Verdict.NOT_RUN:
        return AnswerCall(call.arrived.call_id, verdict, UNKNOWN_KEY, attempts=call.attempts)
    endpoint = view.endpoint.incarnation if view else ""
    retry_after_ms = call.retry_after_s * 1000 if verdict is Verdict.NOT_RUN else 0.0
    return AnswerCall(
        call.arrived.call_id, verdict, reason, response, call.attempts, endpoint, retry_after_ms
    )
