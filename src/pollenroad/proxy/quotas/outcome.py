"""Results of the entry side of quotas."""

from dataclasses import dataclass, field

from pollenroad.boundary import SendPeer

OVER_QUOTA = "quota"
"""Refusal reason: the workspace has sent what its quota allows."""

UNDECIDED = "quota-undecided"
"""Refusal reason: neither an owner nor a standby had a token to give, or none answered."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call."""

    call_id: str
    reason: str
    retry_after_s: float
    """Time until this entry expects a token for it."""
    details: tuple[tuple[str, object], ...] = ()
    """Fields of the log line: the quota, and what the entry's lease of it holds."""


@dataclass(slots=True)
class Outcome:
    """Result of a step. A call that is neither admitted nor refused waits."""

    admitted: list[str] = field(default_factory=list)
    """Ids of the calls that can proceed now."""
    refused: list[Refusal] = field(default_factory=list)
    actions: list[SendPeer] = field(default_factory=list)
