"""What the end of an exchange with a server proves, as an answer to the entry. No I/O."""

from pollenroad.boundary import ServerAnswered, ServerFailed, ServerShed
from pollenroad.messages import AttemptAnswer
from pollenroad.verdicts import Verdict

SERVER_ERROR = 500
"""Lowest HTTP status that counts as a failure of the server."""


def answer_of(event: ServerAnswered | ServerFailed | ServerShed) -> AttemptAnswer:
    """Return the answer to the attempt whose exchange has ended."""
    match event:
        case ServerAnswered(attempt_id, response):
            verdict = Verdict.RAN.value
            return AttemptAnswer(attempt_id, verdict, response=response, reached_server=True)
        case ServerFailed(attempt_id, reached, reason):
            verdict = Verdict.UNKNOWN if reached else Verdict.NOT_RUN
            return AttemptAnswer(attempt_id, verdict.value, reason, reached_server=reached)
        case ServerShed(attempt_id):
            return AttemptAnswer(attempt_id, Verdict.NOT_RUN.value, "shed", reached_server=True)


def is_success(answer: AttemptAnswer) -> bool:
    """Tell whether a server answered without a failure of its own."""
    return answer.response is not None and answer.response.status < SERVER_ERROR
