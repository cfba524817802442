"""Log records of the decisions of entry and guard, with the inputs of each and their age."""

from pollenroad.boundary import Record
from pollenroad.guard.admission import WaitingAttempt
from pollenroad.guard.running_attempts import RunningAttempt
from pollenroad.messages import Attempt, AttemptAnswer, LoadReport
from pollenroad.proxy.advertised import Advertised
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.calls import OpenAttempt, OpenCall
from pollenroad.proxy.fleet import EndpointView
from pollenroad.proxy.health import ServerHealth
from pollenroad.verdicts import Verdict


def age_ms(age_s: float) -> int | None:
    """Return an age in milliseconds, or None if it is infinite (nothing was ever received)."""
    return None if age_s == float("inf") else round(age_s * 1000)


def request_refused(arrived: RequestArrived, reason: str) -> Record:
    """Return the record of a request that an entry refuses."""
    fields = (
        ("request_id", arrived.request_id),
        ("host", arrived.host),
        ("path", arrived.request.path[:64]),
        ("reason", reason),
    )
    return Record("request_refused", fields)


def attempt_sent(
    arrived: RequestArrived,
    attempt: Attempt,
    view: EndpointView,
    role: str,
    cost_s: float,
    revision: int,
    now: float,
) -> Record:
    """Return the record of an attempt that an entry sends."""
    fields = (
        ("request_id", arrived.request_id),
        ("attempt_id", attempt.attempt_id),
        ("endpoint", view.endpoint.incarnation),
        ("why", role),
        ("cost_ms", round(cost_s * 1000)),
        ("in_flight", view.in_flight()),
        ("slowdown", round(view.current_slowdown(now), 2)),
        ("report_age_ms", age_ms(now - view.reported_at)),
        ("config_version", attempt.config_version),
        ("revision", revision),
    )
    return Record("attempt_sent", fields)


def attempt_ended(
    call: OpenCall,
    attempt_id: str,
    attempt: OpenAttempt,
    verdict: Verdict,
    reason: str,
    now: float,
) -> Record:
    """Return the record of the end of an attempt, as seen by its entry."""
    fields = (
        ("request_id", call.arrived.request_id),
        ("attempt_id", attempt_id),
        ("endpoint", attempt.view.endpoint.incarnation),
        ("verdict", verdict.value),
        ("reason", reason),
        ("ms", round((now - attempt.sent_at) * 1000, 1)),
    )
    return Record("attempt_ended", fields)


def call_answered(
    call: OpenCall, verdict: Verdict, reason: str, endpoint: str, now: float
) -> Record:
    """Return the record of the answer to a request."""
    fields = (
        ("request_id", call.arrived.request_id),
        ("route", call.route.name),
        ("service", call.service),
        ("endpoint", endpoint),
        ("verdict", verdict.value),
        ("reason", reason),
        ("attempts", call.attempts),
        ("ms", round((now - call.started) * 1000, 1)),
    )
    return Record("call_answered", fields)


def attempt_refused(
    waiting: WaitingAttempt,
    reason: str,
    load: LoadReport,
    health: ServerHealth,
    revision: int,
    now: float,
) -> Record:
    """Return the record of an attempt that a guard refuses."""
    fields = (
        ("request_id", waiting.attempt.request_id),
        ("attempt_id", waiting.attempt.attempt_id),
        ("reason", reason),
        ("waited_ms", round((now - waiting.arrived) * 1000)),
        ("in_flight", load.in_flight),
        ("queued", load.queued),
        ("slowdown", round(health.slowdown, 2)),
        ("seen_age_ms", age_ms(health.age_s(now))),
        ("revision", revision),
    )
    return Record("attempt_refused", fields)


def attempt_displaced(waiting: WaitingAttempt, by: Attempt, now: float) -> Record:
    """Return the record of a waiting attempt that gives way to one that has just arrived."""
    fields = (
        ("request_id", waiting.attempt.request_id),
        ("attempt_id", waiting.attempt.attempt_id),
        ("rank", waiting.attempt.priority),
        ("by_rank", by.priority),
        ("work_ms", round(waiting.work_s * 1000)),
        ("waited_ms", round((now - waiting.arrived) * 1000)),
    )
    return Record("attempt_displaced", fields)


def attempt_started(
    waiting: WaitingAttempt,
    in_flight: int,
    health: ServerHealth,
    limit_per_s: float | None,
    now: float,
) -> Record:
    """Return the record of an attempt that is started at the server."""
    fields = (
        ("request_id", waiting.attempt.request_id),
        ("attempt_id", waiting.attempt.attempt_id),
        ("waited_ms", round((now - waiting.arrived) * 1000)),
        ("remaining_ms", round((waiting.deadline - now) * 1000)),
        ("in_flight", in_flight),
        ("slowdown", round(health.slowdown, 2)),
        ("seen_age_ms", age_ms(health.age_s(now))),
        ("cold", health.is_cold(now)),
        ("limit_per_s", limit_per_s),
    )
    return Record("attempt_started", fields)


def attempt_done(running: RunningAttempt, answer: AttemptAnswer, now: float) -> Record:
    """Return the record of the end of an attempt at the server."""
    fields = (
        ("request_id", running.waiting.attempt.request_id),
        ("attempt_id", answer.attempt_id),
        ("verdict", answer.verdict),
        ("reason", answer.reason),
        ("status", answer.response.status if answer.response else 0),
        ("ms", round((now - running.started) * 1000, 1)),
        ("wanted", running.has_waiting_entry),
    )
    return Record("attempt_done", fields)


def server_limit(advertised: Advertised, before_per_s: float | None, source: str) -> Record:
    """Return the record of a limit that the server states, ends, or states unreadably.

    Args:
        advertised: What the server states now.
        before_per_s: The limit before, in requests a second.
        source: `health` or `answer` of the server, or `entry` for what an entry has heard.
    """
    fields = (
        ("limit_per_s", advertised.limit_per_s),
        ("before_per_s", before_per_s),
        ("unreadable", advertised.unreadable),
        ("source", source),
    )
    return Record("server_limit", fields)


def server_leaving(is_leaving: bool, closed_reason: str, source: str) -> Record:
    """Return the record that the server states that it leaves, or no longer does.

    Args:
        is_leaving: What it states.
        closed_reason: Why its guard takes no new work; empty if the guard does.
        source: `health` or `answer` of the server.
    """
    fields = (("leaving", is_leaving), ("closed", closed_reason), ("source", source))
    return Record("server_leaving", fields)


def server_slow(report: LoadReport) -> Record:
    """Return the record of a report that an endpoint has become slow."""
    fields = (("endpoint", report.endpoint), ("slowdown", round(report.slowdown, 2)))
    return Record("server_slow", fields)


def report_refused(report: LoadReport) -> Record:
    """Return the record of a load report from which no cost can be computed."""
    fields = (("endpoint", report.endpoint), ("slowdown", report.slowdown))
    return Record("report_refused", (*fields, ("limit_per_s", report.limit_per_s)))


def guard_state(report: LoadReport, before: str, reason: str, revision: int) -> Record:
    """Return the record of a change of the state that a guard reports."""
    fields = (
        ("state", report.state),
        ("before", before),
        ("reason", reason),
        ("endpoint", report.endpoint),
        ("revision", revision),
    )
    return Record("guard_state", fields)
