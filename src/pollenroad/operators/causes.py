"""Outcome of a request and its cause, from the log lines of several daemons."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

_FINAL_EVENTS = ("call_failed", "call_answered", "request_refused", "quota_refused")

EXPLANATION_BY_REASON = {
    "no-route": "no route of the configuration in force fits its host and path",
    "no-key": "it carried no key, and its route is not public",
    "unknown-key": "its key is of no workspace of the configuration in force",
    "quota": "its workspace had sent what its quota allows",
    "quota-undecided": "the owners of its workspace's quota did not answer, or were just starting",
    "no-configuration": "the daemon had not read a configuration yet",
    "no-endpoint": "no endpoint took it in time",
    "leaving": "the daemon was about to end",
    "peer-lost": "the link to the guard broke while the attempt was there, so it may have run",
    "unreachable": "the guard beside the endpoint could not be reached",
    "abandoned": "the caller closed its connection first",
    "server-error": "the server ran it and answered with a failure of its own",
    "timeout": "there was no answer at the timeout of its route",
    "deadline": "the server had not answered at the timeout of its route",
    "shed": "the server itself refused it without running it",
    "overloaded": "it waited for a slot until it could no longer run in time",
    "calls-refused": "runs of its route fail there, since calls that they make are refused",
}
"""Explanation of a reason code; any other reason is the error of the exchange with the server."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line of a daemon's log."""

    time: str
    vm: str
    event: str
    fields: dict[str, object]

    def text(self) -> str:
        """Return the line as text for a person."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time} {self.vm} {self.event} {shown}"


def find_lines(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the lines with a request id, ordered by time.

    Args:
        request_id: The id that the caller sent.
        texts: Lines of daemons' logs; any text before the JSON object is ignored.
    """
    found = [line for line in _parse(texts) if line.fields.get("request_id") == request_id]
    return sorted(found, key=lambda line: line.time)


def _parse(texts: Iterable[str]) -> Iterator[LogLine]:
    for text in texts:
        start = text.find("{")
        if start < 0 or '"event"' not in text:
            continue
        try:
            fields = json.loads(text[start:])
        except json.JSONDecodeError:
            continue  # Truncated by a full pipe; its daemon counts it as dropped.
        known = [str(fields.pop(key, "")) for key in ("time", "vm", "event")]
        for key in ("level", "number"):
            fields.pop(key, None)
        yield LogLine(*known, fields)


def describe_cause(lines: list[LogLine]) -> str:
    """Return one sentence that states how a request ended, and why.

    Args:
        lines: All lines of the request, ordered by time.
    """
    final_line = next((line for line in reversed(lines) if line.event in _FINAL_EVENTS), None)
    if final_line is None:
        return "The request has no end in these logs: its entry ended, or the line was dropped."
    verdict = final_line.fields.get("verdict", "not-run")
    reason = str(final_line.fields.get("reason", ""))
    if verdict == "ran" and not reason:
        endpoint, duration_ms = final_line.fields.get("endpoint"), final_line.fields.get("ms")
        return f"It was served by {endpoint} in {duration_ms} ms."
    explanation = EXPLANATION_BY_REASON.get(
        reason, f"the exchange with the server failed: {reason}"
    )
    details = "; ".join(_iter_attempt_details(lines))
    return f"Verdict {verdict}: {explanation}{' (' + details + ')' if details else ''}."


def _iter_attempt_details(lines: list[LogLine]) -> Iterator[str]:
    """Yield a text for each refusal, start, failure and answer other than 200, oldest first."""
    for line in lines:
        fields = line.fields
        match line.event:
            case "attempt_refused":
                yield (
                    f"refused by {line.vm}: {fields.get('reason')} after "
                    f"{fields.get('waited_ms')} ms, {fields.get('in_flight')} in flight"
                )
            case "attempt_started":
                yield (
                    f"handed over by {line.vm} at slowdown {fields.get('slowdown')}, "
                    f"{fields.get('in_flight')} in flight"
                )
            case "attempt_done" if fields.get("verdict") != "ran":
                yield f"ended at {line.vm} after {fields.get('ms')} ms: {fields.get('reason')}"
            case "attempt_done" if fields.get("status") != 200:
                yield f"answered {fields.get('status')} at {line.vm} after {fields.get('ms')} ms"
