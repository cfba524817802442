"""Library for Python callers: `Client`, and the `Reply` that it returns.

A client selects one of several entries, states the deadline, and never risks a second run of a
request that is not idempotent.
"""

import random
import secrets
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from pollenroad import headers
from pollenroad.addresses import split_address
from pollenroad.exceptions import CallError
from pollenroad.logs import log
from pollenroad.strict_http import StrictConnectionPool, rejection_reason
from pollenroad.verdicts import Verdict, is_retry_safe

DEFAULT_DEADLINE_S = 1.0
CONNECT_TIMEOUT_S = 0.5
AVOID_S = 2.0
"""Time for which an entry is tried last after it failed, in seconds."""
ANSWER_SLACK_S = 0.25
"""Time to wait beyond the deadline for the entry's own verdict, in seconds."""
REFUSED_STATUSES = frozenset({400, 404, 413, 414})
"""Statuses, without a verdict, by which an entry refuses a malformed request before any attempt."""

RETRIED_REASONS = frozenset({"leaving", "starting", "no-entry"})
"""Reasons for which an entry refuses a call that another entry may accept."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Result of a call."""

    verdict: Verdict
    status: int = 0
    """HTTP status; 0 if no entry answered."""
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    reason: str = ""
    """Reason code if the verdict is not `ran`; see docs/INTERFACES.md."""
    request_id: str = ""
    endpoint: str = ""
    attempts: int = 0
    retry_after_s: float = 0.0

    @property
    def ok(self) -> bool:
        """Whether the request ran and the server's status is below 400."""
        return self.verdict is Verdict.RAN and self.status < 400

    def raise_for_verdict(self) -> "Reply":
        """Return this reply if the request ran.

        Raises:
            CallError: If it did not run, or if that is unknown.
        """
        if self.verdict is not Verdict.RAN:
            raise CallError(self.verdict, self.reason)
        return self


@dataclass(frozen=True, slots=True)
class PreparedCall:
    """A call, ready to be sent to an entry."""

    method: str
    target: str
    fields: Mapping[str, str]
    body: bytes
    idempotent: bool
    request_id: str


def _verdict_of(answer: urllib3.BaseHTTPResponse, default: Verdict | None) -> Verdict:
    stated = answer.headers.get(headers.VERDICT)
    if stated:
        return Verdict(stated)
    refused = answer.status in REFUSED_STATUSES
    return default or (Verdict.NOT_RUN if refused else Verdict.UNKNOWN)


def reply_from(
    answer: urllib3.BaseHTTPResponse, request_id: str, default: Verdict | None = None
) -> Reply:
    """Build the reply from an entry's HTTP answer.

    Args:
        answer: The complete HTTP answer.
        request_id: Request id to use if the answer states none.
        default: Verdict to use if the answer states none. None stands for not run if the status is
            one by which an entry refuses a malformed request, and unknown otherwise.
    """
    fields = answer.headers
    return Reply(
        verdict=_verdict_of(answer, default),
        status=answer.status,
        headers=fields,
        body=answer.data,
        reason=fields.get(headers.REASON, ""),
        request_id=fields.get(headers.REQUEST_ID, request_id),
        endpoint=fields.get(headers.ENDPOINT, ""),
        attempts=int(fields.get(headers.ATTEMPTS, 0)),
        retry_after_s=float(fields.get(headers.RETRY_AFTER_MS, 0)) / 1000,
    )


class Client:
    """Calls services through one of several entries.

    Args:
        entries: Call addresses of daemons, `HOST:PORT`.
        customer: Customer on whose behalf the calls are made.
        deadline_s: Time allowed for a call that states none itself, in seconds.
        max_tries: Maximum number of entries to which one call is sent.
    """

    def __init__(
        self,
        entries: list[str] | tuple[str, ...],
        customer: str = "anonymous",
        deadline_s: float = DEFAULT_DEADLINE_S,
        max_tries: int = 3,
    ):
        if not entries:
            raise ValueError("a client needs at least one entry")
        self._customer = customer
        self._deadline_s = deadline_s
        self._max_tries = max_tries
        self._pool_by_entry = {
            entry: StrictConnectionPool(*split_address(entry), maxsize=64) for entry in entries
        }
        self._avoid_until_by_entry: dict[str, float] = {}
        self._rng = random.Random()

    # --- Calls ---

    def get(self, service: str, path: str, **options) -> Reply:
        """Call a service with GET; see `request`."""
        return self.request("GET", service, path, **options)

    def post(self, service: str, path: str, body: bytes = b"", **options) -> Reply:
        """Call a service with POST; see `request`."""
        return self.request("POST", service, path, body=body, **options)

    def request(
        self,
        method: str,
        service: str,
        path: str,
        body: bytes = b"",
        *,
        request_class: str = "",
        idempotent: bool = False,
        deadline_s: float | None = None,
        request_id: str = "",
        fields: Mapping[str, str] | None = None,
    ) -> Reply:
        """Make one call.

        Args:
            method: HTTP method.
            service: Key of the service, `WORKSPACE/SERVICE`.
            path: Path at the server, with its query.
            body: Body of the request.
            request_class: Request class; empty for the default class of the service.
            idempotent: Whether this client may send the call to a second entry after it may have
                run. Retries by entries depend on the request class instead.
            deadline_s: Time allowed for the whole call, in seconds.
            request_id: Id shared by all attempts of the call; generated if empty.
            fields: Additional headers.

        Returns:
            The complete answer with its verdict. A refused or lost call raises no exception.
        """
        seconds = self._deadline_s if deadline_s is None else deadline_s
        effective_id = request_id or secrets.token_hex(8)
        prepared = PreparedCall(
            method=method,
            target=f"/{service}/{path.lstrip('/')}",
            fields={
                **(fields or {}),
                headers.CUSTOMER: self._customer,
                headers.REQUEST_CLASS: request_class,
                headers.REQUEST_ID: effective_id,
            },
            body=body,
            idempotent=idempotent,
            request_id=effective_id,
        )
        return self._try_entries(prepared, time.monotonic() + seconds)

    # --- Entry selection ---

    def _ordered_entries(self) -> list[str]:
        now = time.monotonic()
        entries = list(self._pool_by_entry)
        self._rng.shuffle(entries)
        return sorted(entries, key=lambda e: self._avoid_until_by_entry.get(e, 0.0) > now)

    def _try_entries(self, prepared: PreparedCall, deadline: float) -> Reply:
        reply = Reply(Verdict.NOT_RUN, reason="no-entry", request_id=prepared.request_id)
        may_have_run = False
        for entry in self._ordered_entries()[: self._max_tries]:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            reply = self._send(entry, prepared, remaining_s)
            may_have_run = may_have_run or reply.verdict is Verdict.UNKNOWN
            if not self._can_try_next(reply, prepared):
                break
        if may_have_run and reply.verdict is Verdict.NOT_RUN:
            return Reply(Verdict.UNKNOWN, reply.status, reply.headers, reply.body, reply.reason)
        return reply

    def _can_try_next(self, reply: Reply, prepared: PreparedCall) -> bool:
        if not is_retry_safe(reply.verdict, prepared.idempotent):
            return False
        return reply.status == 0 or reply.reason in RETRIED_REASONS

    def _send(self, entry: str, prepared: PreparedCall, remaining_s: float) -> Reply:
        fields = {**prepared.fields, headers.DEADLINE_MS: f"{remaining_s * 1000:.0f}"}
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s + ANSWER_SLACK_S
        )
        try:
            answer = self._pool_by_entry[entry].urlopen(
                prepared.method,
                prepared.target,
                body=prepared.body or None,
                headers=fields,
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError):
            return self._handle_failure(entry, prepared, Verdict.NOT_RUN, "no-entry")
        except (HTTPError, OSError) as error:
            if reason := rejection_reason(error):
                log("response_rejected", server=entry, path=prepared.target[:64], reason=reason)
            return self._handle_failure(entry, prepared, Verdict.UNKNOWN, "entry-lost")
        reply = reply_from(answer, prepared.request_id)
        if reply.reason in RETRIED_REASONS:
            self._avoid_until_by_entry[entry] = time.monotonic() + AVOID_S
        return reply

    def _handle_failure(
        self, entry: str, prepared: PreparedCall, verdict: Verdict, reason: str
    ) -> Reply:
        self._avoid_until_by_entry[entry] = time.monotonic() + AVOID_S
        return Reply(verdict, reason=reason, request_id=prepared.request_id)
