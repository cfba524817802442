"""Check of the responses in answers that arrive from peers, before a caller can get them.

Load: one check for each answered attempt, up to a few thousand a second; the cost is linear in the
length of the response's fields. No I/O.
"""

from pollenroad.boundary import Event, PeerReceived, Record
from pollenroad.exceptions import MalformedResponse
from pollenroad.messages import AttemptAnswer
from pollenroad.response_head import check_response
from pollenroad.verdicts import Verdict

MALFORMED = "malformed-response"
"""Reason of an attempt whose response, as the peer sent it, is not valid HTTP."""


def checked_event(event: Event) -> tuple[Event, list[Record]]:
    """Return the event to handle, and what to log.

    An answer whose response is malformed becomes one that the request may have run; every other
    event is returned as it is.
    """
    if not isinstance(event, PeerReceived) or not isinstance(event.message, AttemptAnswer):
        return event, []
    answer = event.message
    if answer.response is None:
        return event, []
    response = answer.response
    try:
        check_response(response.status, response.headers, len(response.body))
    except MalformedResponse as error:
        attempt_id, load = answer.attempt_id, answer.load
        fields = (("server", event.peer), ("attempt_id", attempt_id), ("reason", str(error)))
        rejected = AttemptAnswer(
            attempt_id, Verdict.UNKNOWN.value, MALFORMED, load=load, reached_server=True
        )
        return PeerReceived(event.peer, rejected), [Record("response_rejected", fields)]
    return event, []
