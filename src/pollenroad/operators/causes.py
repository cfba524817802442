"""Why a request ended as it did, from the log lines of several daemons. No I/O."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

_ENDS = ("call_failed", "call_answered", "request_refused")

SENTENCE_BY_REASON = {
    "no-route": "no route of the configuration in force fits its host and path",
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
}
"""What a reason code means; other reasons are the words of the exchange with the server."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line of a daemon's log."""

    time: str
    vm: str
    event: str
    fields: dict[str, object]

    def text(self) -> str:
        """Return the line for a reader."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time} {self.vm} {self.event} {shown}"


def lines_of(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the lines that carry a request id, in the order of their time.

    Args:
        request_id: The id that the caller sent.
        texts: Lines of any daemons' logs; what stands before the JSON object is passed over.
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
            continue  # A line that a full pipe cut off; its daemon counts it as dropped.
        known = [str(fields.pop(key, "")) for key in ("time", "vm", "event")]
        for key in ("level", "number"):
            fields.pop(key, None)
        yield LogLine(*known, fields)


def cause_of(lines: list[LogLine]) -> str:
    """Say in one plain sentence how a request ended, and why.

    Args:
        lines: All lines of the request, in the order of their time.
    """
    end = next((line for line in reversed(lines) if line.event in _ENDS), None)
    if end is None:
        return "The request has no end in these logs: its entry ended, or the line was dropped."
    verdict = end.fields.get("verdict", "not-run")
    reason = str(end.fields.get("reason", ""))
    if verdict == "ran" and not reason:
        endpoint, took = end.fields.get("endpoint"), end.fields.get("ms")
        return f"It was served by {endpoint} in {took} ms."
    why = SENTENCE_BY_REASON.get(reason, f"the exchange with the server failed: {reason}")
    details = "; ".join(_details(lines))
    return f"Verdict {verdict}: {why}{' (' + details + ')' if details else ''}."


def _details(lines: list[LogLine]) -> Iterator[str]:
    """Yield what the attempts met, the oldest first."""
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
