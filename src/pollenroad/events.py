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
    CatalogueEntry(106, "settings_reloaded", logging.INFO, "The settings file was read again."),
    CatalogueEntry(107, "settings_refused", logging.ERROR, "A changed settings file is not valid."),
    CatalogueEntry(108, "log_dropped", logging.WARNING, "Lines of the log were dropped."),
    CatalogueEntry(200, "call_answered", logging.DEBUG, "A call got its answer and verdict."),
    CatalogueEntry(201, "attempt_sent", logging.DEBUG, "An entry sent an attempt, and why there."),
    CatalogueEntry(202, "attempt_ended", logging.DEBUG, "An attempt ended with a verdict."),
    CatalogueEntry(203, "request_refused", logging.INFO, "No route or no configuration for it."),
    CatalogueEntry(204, "call_failed", logging.INFO, "A call ended without a server's success."),
    CatalogueEntry(205, "caller_lost", logging.INFO, "A caller's connection broke."),
    CatalogueEntry(206, "caller_refused", logging.INFO, "A caller sent what is not taken."),
    CatalogueEntry(207, "server_slow", logging.INFO, "A guard reported that its server is slow."),
    CatalogueEntry(300, "attempt_refused", logging.DEBUG, "A guard refused an attempt, not run."),
    CatalogueEntry(301, "guard_cold", logging.INFO, "A guard treats its server as cold."),
    CatalogueEntry(302, "guard_serving", logging.INFO, "A guard admits up to all slots."),
    CatalogueEntry(303, "guard_draining", logging.INFO, "A guard takes no new work."),
    CatalogueEntry(304, "guard_out", logging.INFO, "The endpoint is out of service."),
    CatalogueEntry(305, "guard_drained", logging.INFO, "No new work, and nothing in flight."),
    CatalogueEntry(306, "guard_down", logging.WARNING, "The server refuses all work."),
    CatalogueEntry(307, "server_fell_cold", logging.WARNING, "A sign of a cold server was seen."),
    CatalogueEntry(308, "guard_refusing", logging.INFO, "Attempts refused by a guard, by reason."),
    CatalogueEntry(309, "attempt_started", logging.DEBUG, "A guard handed an attempt over."),
    CatalogueEntry(310, "attempt_done", logging.DEBUG, "A server's exchange ended."),
    CatalogueEntry(311, "guard_state", logging.INFO, "A guard takes work, or not any more."),
    CatalogueEntry(312, "server_cold", logging.INFO, "The server says that it is cold."),
    CatalogueEntry(313, "server_silent", logging.WARNING, "Health checks had no answer."),
    CatalogueEntry(400, "peer_connected", logging.DEBUG, "A link to or from a peer is open."),
    CatalogueEntry(401, "peer_lost", logging.INFO, "A link to a peer broke."),
    CatalogueEntry(402, "peer_refused", logging.WARNING, "A peer's frame or identity is refused."),
    CatalogueEntry(403, "notice_unsent", logging.INFO, "A load report could not be sent."),
    CatalogueEntry(404, "notice_refused", logging.WARNING, "A malformed datagram arrived."),
    CatalogueEntry(405, "operator_connection_lost", logging.INFO, "An operator's link broke."),
    CatalogueEntry(
        406, "entry_lost", logging.INFO, "A link broke by which an entry sent attempts."
    ),
    CatalogueEntry(500, "document_in_force", logging.INFO, "A newer document came into force."),
    CatalogueEntry(501, "document_refused", logging.WARNING, "A document was refused, and why."),
    CatalogueEntry(503, "document_conflict", logging.ERROR, "One version has two contents."),
    CatalogueEntry(504, "membership_changed", logging.INFO, "The view of VMs changed."),
    CatalogueEntry(505, "started_alone", logging.WARNING, "No peer answered during the start."),
    CatalogueEntry(506, "platform_stale", logging.INFO, "The platform gave an older list of VMs."),
    CatalogueEntry(510, "directory_lost", logging.WARNING, "The platform cannot be read."),
    CatalogueEntry(511, "directory_regained", logging.INFO, "The platform can be read again."),
    CatalogueEntry(512, "configuration_in_force", logging.INFO, "A newer configuration holds."),
    CatalogueEntry(513, "configuration_refused", logging.WARNING, "A configuration is refused."),
    CatalogueEntry(514, "domains_out", logging.INFO, "Failure domains out of service changed."),
    CatalogueEntry(515, "endpoint_registered", logging.INFO, "An endpoint came, or will leave."),
    CatalogueEntry(516, "endpoint_gone", logging.INFO, "An endpoint is not used any more."),
    CatalogueEntry(517, "endpoint_doubtful", logging.WARNING, "An endpoint's lease ran out."),
    CatalogueEntry(518, "item_refused", logging.WARNING, "An item of the platform is malformed."),
    CatalogueEntry(
        519, "watcher_changed", logging.INFO, "A daemon watches the platform, or stops."
    ),
    CatalogueEntry(520, "directory_behind", logging.INFO, "Others know more; one is asked for it."),
    CatalogueEntry(
        521, "registration_refused", logging.WARNING, "A registration is of an earlier start."
    ),
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
