"""The catalogue of numbered events, for logs and for the recent memory of a daemon.

`docs/EVENTS.md` is made from it: `python -m pollenroad.events > docs/EVENTS.md`.
"""

import logging
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CatalogueEntry:
    """One kind of event."""

    number: int
    name: str
    level: int
    meaning: str


CATALOGUE = (
    CatalogueEntry(100, "daemon_started", logging.INFO, "A daemon listens on its addresses."),
    CatalogueEntry(101, "daemon_ready", logging.INFO, "A daemon holds configuration, takes work."),
    CatalogueEntry(102, "daemon_stopping", logging.INFO, "A daemon refuses new work and drains."),
    CatalogueEntry(103, "daemon_stopped", logging.INFO, "A daemon ended; nothing was in flight."),
    CatalogueEntry(104, "drain_timeout", logging.ERROR, "Work was in flight at the drain limit."),
    CatalogueEntry(105, "internal_error", logging.ERROR, "A task failed; the daemon goes on."),
    CatalogueEntry(200, "call_answered", logging.DEBUG, "A call got its answer and verdict."),
    CatalogueEntry(201, "attempt_sent", logging.DEBUG, "An entry sent an attempt, and why there."),
    CatalogueEntry(202, "attempt_ended", logging.DEBUG, "An attempt ended with a verdict."),
    CatalogueEntry(300, "attempt_refused", logging.DEBUG, "A guard refused an attempt, not run."),
    CatalogueEntry(301, "guard_cold", logging.INFO, "A guard treats its server as cold."),
    CatalogueEntry(302, "guard_serving", logging.INFO, "A guard admits up to all slots."),
    CatalogueEntry(303, "guard_draining", logging.INFO, "A guard takes no new work."),
    CatalogueEntry(304, "guard_out", logging.INFO, "The endpoint is out of service."),
    CatalogueEntry(305, "guard_drained", logging.INFO, "No new work, and nothing in flight."),
    CatalogueEntry(306, "guard_down", logging.WARNING, "The server refuses all work."),
    CatalogueEntry(307, "server_fell_cold", logging.WARNING, "A sign of a cold server was seen."),
    CatalogueEntry(308, "guard_refusing", logging.INFO, "Attempts refused by a guard, by reason."),
    CatalogueEntry(400, "peer_connected", logging.DEBUG, "A link to or from a peer is open."),
    CatalogueEntry(401, "peer_lost", logging.INFO, "A link to a peer broke."),
    CatalogueEntry(402, "peer_refused", logging.WARNING, "A peer's frame or identity is refused."),
    CatalogueEntry(500, "document_in_force", logging.INFO, "A newer document came into force."),
    CatalogueEntry(501, "document_refused", logging.WARNING, "A document was refused, and why."),
    CatalogueEntry(503, "document_conflict", logging.ERROR, "One version has two contents."),
    CatalogueEntry(504, "membership_changed", logging.INFO, "The view of VMs changed."),
    CatalogueEntry(505, "started_alone", logging.WARNING, "No peer answered during the start."),
    CatalogueEntry(506, "platform_stale", logging.INFO, "The platform gave an older list of VMs."),
    CatalogueEntry(502, "platform_failed", logging.WARNING, "The platform could not be read."),
)

ENTRY_BY_NAME = {entry.name: entry for entry in CATALOGUE}


def markdown() -> str:
    """Return the catalogue as the page docs/EVENTS.md."""
    lines = [
        "# Events",
        "",
        "Made from `pollenroad.events`; do not edit by hand.",
        "",
        "| number | name | level | meaning |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| {e.number} | {e.name} | {logging.getLevelName(e.level)} | {e.meaning} |"
        for e in sorted(CATALOGUE, key=lambda entry: entry.number)
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(markdown(), end="")
