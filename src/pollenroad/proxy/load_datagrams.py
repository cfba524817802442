"""Load reports between daemons, sent as UDP datagrams without acknowledgement."""

from collections.abc import Callable

import msgspec
from gevent import socket as gsocket

from pollenroad.addresses import split_address
from pollenroad.logs import log
from pollenroad.messages import LoadReport
from pollenroad.proxy.boundary import Event, LoadHeard
from pollenroad.shell.tasks import TurnCounter, spawn_supervised

MAX_DATAGRAM_BYTES = 1_400
"""Longest datagram in bytes, below the usual MTU."""


class _Notice(msgspec.Struct, frozen=True, array_like=True):
    """A load report on the wire: an array without field names."""

    service: str
    endpoint: str
    in_flight: int
    queued: int
    bound: int
    state: str
    sequence: int
    slowdown: float
    limit_per_s: float | None = None
    limit_wait_ms: float = 0.0


class _RejectionNotice(_Notice, frozen=True, array_like=True):
    """A load report of a server that rejects requests although it has capacity."""

    rejection_share: float = 0.0


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_RejectionNotice)


def encode_report(report: LoadReport) -> bytes:
    """Return a load report encoded as a datagram; its service is left out."""
    fields = (
        "",
        report.endpoint,
        report.in_flight,
        report.queued,
        report.bound,
        report.state,
        report.sequence,
        round(report.slowdown, 2),
        report.limit_per_s,
        round(report.limit_wait_ms),
    )
    if report.rejection_share:
        return _ENCODER.encode(_RejectionNotice(*fields, round(report.rejection_share, 2)))
    return _ENCODER.encode(_Notice(*fields))


def decode_report(data: bytes) -> LoadReport:
    """Return the load report decoded from a datagram.

    Raises:
        msgspec.DecodeError: If the datagram is malformed, or has a number that is not finite.
    """
    notice = _DECODER.decode(data)
    report = LoadReport(
        service=notice.service,
        endpoint=notice.endpoint,
        in_flight=notice.in_flight,
        queued=notice.queued,
        bound=notice.bound,
        state=notice.state,
        sequence=notice.sequence,
        slowdown=notice.slowdown,
        limit_per_s=notice.limit_per_s,
        limit_wait_ms=notice.limit_wait_ms,
        rejection_share=notice.rejection_share,
    )
    if not report.is_finite:
        raise msgspec.ValidationError("a number is not finite")
    return report


class LoadDatagrams:
    """UDP socket of a daemon for load reports.

    Args:
        address: Address to listen on; the port is the same on all VMs.
        post: Passes an event to the cores.
    """

    def __init__(self, address: str, post: Callable[[Event], None]):
        self._host, self._port = split_address(address)
        self._post = post
        self._sock = gsocket.socket(gsocket.AF_INET, gsocket.SOCK_DGRAM)
        self.failed = 0
        """Number of datagrams that the kernel refused to send."""

    def start(self) -> None:
        """Start to receive reports."""
        self._sock.bind((self._host, self._port))
        spawn_supervised("load datagrams", self._read)

    def send(self, hosts: tuple[str, ...], report: LoadReport) -> None:
        """Send a report to the daemons on `hosts`, without blocking."""
        data = encode_report(report)
        for host in hosts:
            if host == self._host:
                self._post(LoadHeard(host, report))
                continue
            try:
                self._sock._sock.sendto(data, gsocket.MSG_DONTWAIT, (host, self._port))
            except OSError as error:
                self.failed += 1
                log("notice_unsent", host=host, reason=str(error), unsent=self.failed)

    def _read(self) -> None:
        turns = TurnCounter()
        while True:
            turns.step()
            data, (host, _port) = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                self._post(LoadHeard(host, decode_report(data)))
            except msgspec.DecodeError as error:
                log("notice_refused", host=host, reason=str(error))
