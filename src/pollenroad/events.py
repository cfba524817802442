"""Catalogue of the numbered events that daemons log and keep for `pollenroad explain`.

`docs/EVENTS.md` is generated from it: `python -m pollenroad.events > docs/EVENTS.md`.
"""

import logging
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CatalogueEntry:
    """One type of event."""

    number: int
    name: str
    level: int
    meaning: str


CATALOGUE = (
    CatalogueEntry(100, "daemon_started", logging.INFO, "A daemon is listening on its addresses."),
    CatalogueEntry(
        101, "daemon_ready", logging.INFO, "A daemon has its configuration and takes work."
    ),
    CatalogueEntry(102, "daemon_stopping", logging.INFO, "A daemon refuses new work and drains."),
    CatalogueEntry(
        103, "daemon_stopped", logging.INFO, "A daemon stopped, drained or at its drain limit."
    ),
    CatalogueEntry(
        104, "drain_timeout", logging.ERROR, "Work was still in flight at the drain limit."
    ),
    CatalogueEntry(105, "internal_error", logging.ERROR, "A task failed; the daemon continues."),
    CatalogueEntry(106, "settings_reloaded", logging.INFO, "The settings file was reloaded."),
    CatalogueEntry(107, "settings_refused", logging.ERROR, "A changed settings file is invalid."),
    CatalogueEntry(
        109, "loop_stalled", logging.WARNING, "Handling one event held up all other tasks."
    ),
    CatalogueEntry(108, "log_dropped", logging.WARNING, "Log lines were dropped."),
    CatalogueEntry(200, "call_answered", logging.DEBUG, "A call was answered with a verdict."),
    CatalogueEntry(
        201,
        "attempt_sent",
        logging.DEBUG,
        "An entry sent an attempt; states why it selected the endpoint.",
    ),
    CatalogueEntry(202, "attempt_ended", logging.DEBUG, "An attempt ended with a verdict."),
    CatalogueEntry(
        203,
        "request_refused",
        logging.INFO,
        "A request was refused: no route, no valid key, or no configuration.",
    ),
    CatalogueEntry(
        204, "call_failed", logging.INFO, "A call ended with a verdict other than `ran`."
    ),
    CatalogueEntry(205, "caller_lost", logging.INFO, "A caller's connection was lost."),
    CatalogueEntry(
        206, "caller_refused", logging.INFO, "A caller sent a request that is not accepted."
    ),
    CatalogueEntry(207, "server_slow", logging.INFO, "A guard reported that its server is slow."),
    CatalogueEntry(
        208, "report_refused", logging.WARNING, "A load report has numbers that are not finite."
    ),
    CatalogueEntry(
        209,
        "quota_refused",
        logging.INFO,
        "A request was refused by its workspace's quota; states the quota and the entry's lease.",
    ),
    CatalogueEntry(
        210,
        "repeat_withheld",
        logging.DEBUG,
        "An entry refused a request at once, since its service is full as far as it knows.",
    ),
    CatalogueEntry(
        211, "memory_waited", logging.DEBUG, "A message waits until there is memory to read it."
    ),
    CatalogueEntry(
        212,
        "memory_refused",
        logging.INFO,
        "A message was refused: no memory became available in its time.",
    ),
    CatalogueEntry(
        213,
        "caller_paused",
        logging.DEBUG,
        "A caller's requests are not read until it has read its answers.",
    ),
    CatalogueEntry(
        214, "caller_stalled", logging.INFO, "A caller that did not read its answers was closed."
    ),
    CatalogueEntry(
        215,
        "caller_closed",
        logging.WARNING,
        "Memory was needed, and the caller that held the most for the longest was closed.",
    ),
    CatalogueEntry(
        300, "attempt_refused", logging.DEBUG, "A guard refused an attempt, which did not run."
    ),
    CatalogueEntry(301, "guard_cold", logging.INFO, "A guard treats its server as cold."),
    CatalogueEntry(302, "guard_serving", logging.INFO, "A guard admits up to all slots."),
    CatalogueEntry(303, "guard_draining", logging.INFO, "A guard drains and takes no new work."),
    CatalogueEntry(304, "guard_out", logging.INFO, "The endpoint is out of service."),
    CatalogueEntry(
        305, "guard_drained", logging.INFO, "A guard takes no new work and has nothing in flight."
    ),
    CatalogueEntry(306, "guard_down", logging.WARNING, "A guard's server refuses all requests."),
    CatalogueEntry(
        307, "server_fell_cold", logging.WARNING, "A guard detected that its server is cold."
    ),
    CatalogueEntry(
        308, "guard_refusing", logging.INFO, "Number of attempts that a guard refused, by reason."
    ),
    CatalogueEntry(309, "attempt_started", logging.DEBUG, "A guard sent an attempt to its server."),
    CatalogueEntry(
        310, "attempt_done", logging.DEBUG, "The exchange of an attempt with the server ended."
    ),
    CatalogueEntry(311, "guard_state", logging.INFO, "The state that a guard reports changed."),
    CatalogueEntry(
        312, "server_cold", logging.INFO, "The server, or its registration, states that it is cold."
    ),
    CatalogueEntry(313, "server_silent", logging.WARNING, "Health checks were not answered."),
    CatalogueEntry(
        314,
        "server_limit",
        logging.INFO,
        "The limit that the server states in its answers changed.",
    ),
    CatalogueEntry(315, "server_leaving", logging.INFO, "The server states that it leaves."),
    CatalogueEntry(
        316,
        "attempt_displaced",
        logging.DEBUG,
        "A waiting attempt cannot start in time because of one that arrived; states both ranks.",
    ),
    CatalogueEntry(
        317,
        "run_limit",
        logging.INFO,
        "A guard limits the runs of a route whose calls are refused, or no longer does.",
    ),
    CatalogueEntry(400, "peer_connected", logging.DEBUG, "A link to a peer was opened."),
    CatalogueEntry(
        401, "peer_lost", logging.INFO, "A link to a peer broke or could not be opened."
    ),
    CatalogueEntry(402, "peer_refused", logging.WARNING, "A peer's frame or identity was refused."),
    CatalogueEntry(403, "notice_unsent", logging.INFO, "A load report could not be sent."),
    CatalogueEntry(404, "notice_refused", logging.WARNING, "A malformed datagram arrived."),
    CatalogueEntry(
        405, "operator_connection_lost", logging.INFO, "An operator's connection was lost."
    ),
    CatalogueEntry(
        406, "entry_lost", logging.INFO, "A link over which an entry sent attempts was lost."
    ),
    CatalogueEntry(
        407, "message_refused", logging.ERROR, "A message to a peer could not be encoded."
    ),
    CatalogueEntry(
        408,
        "response_rejected",
        logging.INFO,
        "A response was rejected as malformed or incomplete; states the reason.",
    ),
    CatalogueEntry(500, "document_in_force", logging.INFO, "A newer document came into force."),
    CatalogueEntry(
        501, "document_refused", logging.WARNING, "A document was refused; states the reason."
    ),
    CatalogueEntry(
        503,
        "document_conflict",
        logging.ERROR,
        "Two documents of the same version have different contents.",
    ),
    CatalogueEntry(504, "membership_changed", logging.INFO, "The known state of VMs changed."),
    CatalogueEntry(505, "started_alone", logging.WARNING, "No peer answered during the start."),
    CatalogueEntry(
        506, "platform_stale", logging.INFO, "The platform returned an outdated list of VMs."
    ),
    CatalogueEntry(510, "directory_lost", logging.WARNING, "The platform cannot be read."),
    CatalogueEntry(511, "directory_regained", logging.INFO, "The platform can be read again."),
    CatalogueEntry(
        512, "configuration_in_force", logging.INFO, "A newer configuration came into force."
    ),
    CatalogueEntry(513, "configuration_refused", logging.WARNING, "A configuration was refused."),
    CatalogueEntry(
        514, "domains_out", logging.INFO, "The set of failure domains out of service changed."
    ),
    CatalogueEntry(
        515,
        "endpoint_registered",
        logging.INFO,
        "An endpoint registered, or announced that it is leaving.",
    ),
    CatalogueEntry(516, "endpoint_gone", logging.INFO, "An endpoint is no longer used."),
    CatalogueEntry(
        517,
        "endpoint_doubtful",
        logging.WARNING,
        "An endpoint's lease expired; the endpoint is kept for some time.",
    ),
    CatalogueEntry(
        524,
        "changes_unreadable",
        logging.WARNING,
        "Changes of the platform cannot be read, as they are too long; everything is read instead.",
    ),
    CatalogueEntry(518, "item_refused", logging.WARNING, "An item from the platform is malformed."),
    CatalogueEntry(
        519, "watcher_changed", logging.INFO, "A daemon started or stopped watching the platform."
    ),
    CatalogueEntry(
        520,
        "directory_behind",
        logging.INFO,
        "Another daemon has a newer directory and is asked for it.",
    ),
    CatalogueEntry(
        521,
        "registration_refused",
        logging.WARNING,
        "A registration belongs to an earlier start of the server.",
    ),
    CatalogueEntry(522, "store_restored", logging.WARNING, "The platform came back from a copy."),
    CatalogueEntry(
        523,
        "directory_update_ignored",
        logging.INFO,
        "An update of the directory was not applied; states the reason.",
    ),
    CatalogueEntry(502, "platform_failed", logging.WARNING, "A read of the platform failed."),
)

ENTRY_BY_NAME = {entry.name: entry for entry in CATALOGUE}


def render_markdown() -> str:
    """Return the catalogue as Markdown, the contents of docs/EVENTS.md."""
    lines = [
        "# Events",
        "",
        "Generated from `pollenroad.events`; do not edit by hand.",
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
    print(render_markdown(), end="")
