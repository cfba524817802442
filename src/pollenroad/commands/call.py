"""`pollenroad call`: make one call through a daemon."""

import json as json_module
import sys

from pollenroad.client import Client, Reply
from pollenroad.verdicts import Verdict


def _print_reply(reply: Reply) -> None:
    endpoint = f" at {reply.endpoint}" if reply.endpoint else ""
    reason = f": {reply.reason}" if reply.reason else ""
    summary = f"{reply.verdict.value}{reason}{endpoint}, status {reply.status}"
    print(f"{summary}, request {reply.request_id}", file=sys.stderr)
    sys.stdout.write(reply.body.decode(errors="replace"))
    sys.stdout.write("" if reply.body.endswith(b"\n") else "\n")


def _print_json(reply: Reply) -> None:
    fields = {
        "verdict": reply.verdict.value,
        "reason": reply.reason,
        "status": reply.status,
        "request_id": reply.request_id,
        "endpoint": reply.endpoint,
        "attempts": reply.attempts,
        "retry_after_s": reply.retry_after_s,
        "body": reply.body.decode(errors="replace"),
    }
    print(json_module.dumps(fields))


def run(
    entry: str,
    service: str,
    path: str = "/",
    *,
    method: str = "GET",
    body: str = "",
    customer: str = "anonymous",
    request_class: str = "",
    deadline_ms: float = 1000.0,
    idempotent: bool = False,
    request_id: str = "",
    json: bool = False,
) -> int:
    """Make one call and print the server's answer; the verdict goes to standard error.

    Args:
        entry: Call address of a daemon, HOST:PORT; several with commas between.
        service: Key of the service, WORKSPACE/SERVICE.
        path: Path at the server.
        method: HTTP method.
        body: Body of the request.
        customer: Customer on whose behalf the call is made.
        request_class: Request class; empty for the service's default.
        deadline_ms: Time limit of the whole call, in milliseconds.
        idempotent: Allow a second entry when the call may have run.
        request_id: Id of the request; empty for a new one.
        json: Print verdict, status and body as one JSON object.

    Returns:
        0 if the request ran and its status is below 400, else 1.
    """
    client = Client(entry.split(","), customer)
    reply = client.request(
        method,
        service,
        path,
        body.encode(),
        request_class=request_class,
        idempotent=idempotent,
        deadline_s=deadline_ms / 1000,
        request_id=request_id,
    )
    if json:
        _print_json(reply)
    else:
        _print_reply(reply)
    return 0 if reply.verdict is Verdict.RAN and reply.status < 400 else 1
