"""What an entry learns from load reports, in answers of guards and in datagrams."""

from collections.abc import Iterator

from pollenroad.boundary import Record
from pollenroad.messages import LoadReport
from pollenroad.proxy.fleet import EndpointView, Fleet
from pollenroad.proxy.records import report_refused, server_slow


def learn_from_answer(view: EndpointView, report: LoadReport, now: float) -> Iterator[Record]:
    """Apply the report in an answer to the endpoint that answered."""
    if report.is_finite:
        view.learn(report, now)
    else:
        yield report_refused(report)


def learn_from_datagram(fleet: Fleet, report: LoadReport, now: float) -> Iterator[Record]:
    """Apply a report to the endpoint that it names."""
    if not report.is_finite:
        yield report_refused(report)
    elif fleet.learn(report, now):
        yield server_slow(report)
