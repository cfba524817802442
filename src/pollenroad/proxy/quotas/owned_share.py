"""State of a share of a workspace's quota at a daemon that hands it out."""

import math
from dataclasses import dataclass, field
from typing import Protocol

from pollenroad.limits.token_bucket import TokenBucket
from pollenroad.proxy.quotas.allocation import Allocation


class Quota(Protocol):
    """A workspace, as far as its quota is concerned."""

    name: str
    rate_per_s: float | None
    burst: float | None


@dataclass(slots=True)
class OwnedShare:
    """A share of a workspace's quota at its owner or at a holder of its reserve."""

    allocation: Allocation
    primary_since: float | None
    """Since when this daemon owns the share, in monotonic seconds; None if it does not."""
    used_at: float
    reserve: TokenBucket | None = None
    """Part of the reserve; None if the bound leaves no room for one."""
    main: TokenBucket | None = None
    """Bucket of the owner; None while this daemon does not hand out the whole share."""
    main_from: float = math.inf
    """When that bucket began to fill."""
    in_contact_since: float = math.inf
    checked_at: float = -math.inf
    """When this daemon last was in contact with most daemons, on a request."""
    turn_at: float = 0.0
    """When the last request that was refused can expect a token."""
    handed_out_at: float = -math.inf
    """When this daemon last handed out tokens as the owner."""
    barred_until: float = -math.inf
    """Until when another daemon, which has taken over, is the owner."""
    takeover: "Takeover | None" = None
    silence: "Silence | None" = None
    isolated_from: float | None = None
    """Since when this daemon hands out the part of its failure domain, which is cut off; None if it
    does not."""

    def stop(self) -> None:
        """Stop handing out the whole share."""
        self.main, self.takeover, self.silence, self.isolated_from = None, None, None, None


@dataclass(slots=True)
class Takeover:
    """Requests to the daemons that may have owned a share before."""

    missing: set[str]
    """Those that have not answered."""
    began: float
    """From when tokens accrue: since this daemon owns the share, or a former owner stopped."""
    asked_at: float = -math.inf
    asks: int = 0
    """Number of times that they were asked."""


@dataclass(slots=True)
class Silence:
    """What a standby knows about the holders before it, which entries ask in vain."""

    before: tuple[str, ...]
    """The owner and the standbys before this one."""
    began: float
    """Since when they were asked and did not answer, in monotonic seconds."""
    asked_at: float = -math.inf
    asks: int = 0
    """Number of times that they were asked."""
    asked_at_by_domain: dict[str, float] = field(default_factory=dict)
    """When entries of each failure domain last asked this standby."""
