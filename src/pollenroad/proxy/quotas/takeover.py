"""How a daemon becomes the owner of a share: by a change of the directory, or because it is silent.

After a change of the directory, the new owner asks the daemons that may have been the owner before
it to stop. If all answer, it begins at once, else after `CHANGE_S`.

A standby becomes the acting owner if it has asked all holders before it without an answer for
`SILENT_OWNER_S`, is in contact with most daemons, and is asked by entries of most failure domains,
which turn to it only when these holders do not answer them either. A holder that is alive and cut
off has lost contact with most daemons by then, and one that was paused finds out when it resumes.

While a failure domain is cut off, its holder hands out the domain's part of the share by its number
of daemons, and the owner hands out the rest. The owner begins to do so first.
"""

import math

from pollenroad.boundary import SendPeer
from pollenroad.limit_messages import LimitRequest, LimitReturn
from pollenroad.proxy.quotas.contact import EVIDENCE_S, Contact
from pollenroad.proxy.quotas.membership import CHANGE_S, Membership, rank
from pollenroad.proxy.quotas.owned_share import OwnedShare, Silence, Takeover

ASK_INTERVAL_S = 0.5
"""Time after which a holder that has not answered is asked again, in seconds."""

MAX_ASK_GAP_S = 3.0
"""Longest time between two requests to a silent holder, in seconds: without requests, its silence
proves nothing."""

MIN_ASKS = 3
"""Requests to a silent holder without an answer: one may be lost with its link."""

SILENT_OWNER_S = EVIDENCE_S + 0.5
"""Time for which the holders before a standby must have been silent, in seconds."""

ASKING_S = 5.0
"""Time for which a request proves that an entry's failure domain turns to this standby, in
seconds."""

ISOLATED_AFTER_S = EVIDENCE_S + 1.5
"""Time without contact with most daemons after which a holder hands out the part of its domain, in
seconds: the owner has lost contact with the domain `EVIDENCE_S` after the cut, and the last answer
may have arrived here some time before it."""

ISOLATED_S = 60.0
"""Time without contact after which it stops, in seconds: below `KNOWN_S`, after which the owner no
longer knows of the domain."""

ShareKey = tuple[str, int]
"""Workspace, and index of the share."""


class Succession:
    """Decides from when this daemon hands out the whole of a share."""

    def __init__(self, membership: Membership, contact: Contact, started: float):
        self._membership = membership
        self._contact = contact
        self._started = started

    def main_from(self, key: ShareKey, share: OwnedShare, entry: str, now: float) -> float:
        """Return from when the bucket of the owner fills, infinite if that is not known.

        Args:
            key: The share.
            share: State of the share.
            entry: Peer address of the entry that asks for tokens now.
            now: Monotonic time in seconds.
        """
        since = self._contact.majority_since(now)
        if now < share.barred_until:
            share.stop()
            return math.inf
        if since is None:
            return self._isolated_from(key, share, now)
        if share.isolated_from is not None:
            share.stop()
        if share.primary_since is None:
            return self._acting_from(key, share, entry, now)
        if since > share.checked_at:  # Contact was lost since the last request, or is not known.
            share.stop()
            share.in_contact_since = since
        share.checked_at = now
        if share.takeover is not None and not share.takeover.missing:
            return share.takeover.began
        return max(share.primary_since, share.in_contact_since, self._started) + CHANGE_S

    def _isolated_from(self, key: ShareKey, share: OwnedShare, now: float) -> float:
        until = self._contact.majority_until()
        began = math.inf if until is None else until + ISOLATED_AFTER_S
        is_in_time = until is not None and began <= now < until + ISOLATED_S
        part = self._membership.share_of((self._membership.failure_domain,))
        has_token = share.allocation.owner.depth * part >= 1
        if (
            not is_in_time
            or not has_token
            or self._membership.address not in self._membership.chain(*key)
        ):
            share.stop()
            return math.inf
        if share.isolated_from != began:
            share.stop()
            share.isolated_from = began
        return began

    def part(self, share: OwnedShare, now: float) -> float:
        """Return which part of a share this daemon hands out, from 0 to 1."""
        if share.isolated_from is not None:
            return self._membership.share_of((self._membership.failure_domain,))
        return self._contact.reached_share(now)

    def _acting_from(self, key: ShareKey, share: OwnedShare, entry: str, now: float) -> float:
        chain = self._membership.chain(*key)
        if self._membership.address not in chain:
            share.stop()
            return math.inf
        before = chain[: chain.index(self._membership.address)]
        silence = share.silence
        if silence is None or silence.before != before or self._is_broken(silence, now):
            share.stop()
            silence = share.silence = Silence(before, now)
        domain = self._membership.domain_of(entry)
        if domain is not None:
            silence.asked_at_by_domain[domain] = now
        asking = [d for d, at in silence.asked_at_by_domain.items() if at > now - ASKING_S]
        is_silent = now - silence.began >= SILENT_OWNER_S and silence.asks >= MIN_ASKS
        if not is_silent or not self._membership.is_majority(asking):
            share.main = None
            return math.inf
        # A holder that was cut off when it was first asked has stopped by then.
        return silence.began + EVIDENCE_S

    def _is_broken(self, silence: Silence, now: float) -> bool:
        has_gap = bool(silence.asks) and now - silence.asked_at > MAX_ASK_GAP_S
        return has_gap or any(self._contact.heard_at(p) >= silence.began for p in silence.before)

    def asks(self, key: ShareKey, share: OwnedShare, now: float) -> list[SendPeer]:
        """Return the requests to stop, or for a sign of life, that are due on a request."""
        asked = None
        if share.primary_since is None:
            asked, peers = share.silence, share.silence.before if share.silence else ()
        elif share.main is None and now >= share.barred_until:
            asked = share.takeover = share.takeover or self._start(key, share)
            peers = asked.missing if asked else ()
        if asked is None or now - asked.asked_at < ASK_INTERVAL_S:
            return []
        asked.asked_at = now
        asked.asks += 1
        message = LimitRequest(key[0], "", key[1], 0, takes_over=True)
        return [SendPeer(peer, message) for peer in sorted(peers)]

    def _start(self, key: ShareKey, share: OwnedShare) -> Takeover | None:
        former = self._membership.predecessors(*key, share.primary_since)
        if former is None:
            return None
        began = max(share.primary_since, self._started, share.handed_out_at)
        return Takeover(set(former), began)

    def precedes(self, key: ShareKey, peer: str) -> bool:
        """Return whether this daemon is a holder of a share before a peer.

        One whose endpoint has gone or is leaving is a holder no longer, whatever its rank.
        """
        if self._membership.address not in self._membership.chain(*key):
            return False
        name = f"{key[0]}/{key[1]}"
        return rank(name, self._membership.address) < rank(name, peer)

    def on_yielded(self, share: OwnedShare, peer: str, returned: LimitReturn, now: float) -> None:
        """Note that a former owner has stopped."""
        if share.takeover is not None:
            share.takeover.missing.discard(peer)
            if returned.was_active:
                share.takeover.began = now
