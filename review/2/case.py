"""An answer with a byte above 127 in a header field leaves its connection without any answer."""

import threading
import time

from review.harness import NO_ANSWER, TROUBLE, Deployment, ask, main
from tests.users.fleet import APP, CALL, configuration
from tests.users.raw_http import answer_bytes, connect
from tests.users.server import StandInServer

CLIENTS = 12
SECONDS = 40
PAUSE_S = 0.05
"""Pause of a client between two requests."""

TIMEOUT_S = 1.5
"""`timeout` of both routes."""
SPOILT_SHARE = 0.02
"""garble: share (.5) of the servers spoil x (.02) of their answers."""


class SpoilingServer(StandInServer):
    """Every fiftieth answer, after its header fields were garbled, has one byte above 127."""

    answers = 0

    def _answer(self, handler, attempt: str, body: bytes) -> bytes:
        self.answers += 1
        is_spoilt = TROUBLE and self.answers % int(1 / SPOILT_SHARE) == 0
        fields = self._load() | {"X-Attempt-Id": attempt, "X-Response-Signature": f"sig.{attempt}"}
        note = "Zoe\u00e9" if is_spoilt else "Zoee"
        return answer_bytes(200, fields | {"X-Note": note}, body)


class Fleet(Deployment):
    def make_server(self, host: str) -> StandInServer:
        kind = SpoilingServer if host.endswith(".2") else StandInServer
        port = int(self.address(host, APP).rpartition(":")[2])
        server = kind(self.store, host, port, self.service(host), self.failure_domain(host))
        server.service_s = 0.02
        return server


def run(record) -> bool:
    fleet = Fleet(2, subnet=52)
    try:
        fleet.store.put("op/config", configuration(2, timeout=f"{int(TIMEOUT_S * 1000)}ms"))
        fleet.start_all()
        counts = {"answered": 0, "late": 0, "never": 0}
        runs = []
        end = time.monotonic() + SECONDS

        def client(number: int) -> None:
            """Send one request after the other on a kept connection, as many clients do."""
            host, count, sock = fleet.hosts[number % 2], 0, None
            method, path = (("GET", "/alpha/read/x"), ("POST", "/alpha/write/x"))[number // 2 % 2]
            while time.monotonic() < end:
                time.sleep(PAUSE_S)
                count += 1
                request_id = f"c{number}-{count}"
                sock = sock or connect(fleet.address(host, CALL))
                # The answer is due at the route's timeout, and is missing 0.5 s later.
                body = b"x" if method == "POST" else b""
                answer = ask("", method, path, request_id, 3000, body, sock, TIMEOUT_S + 0.6)
                if answer.status == NO_ANSWER:
                    ran = sum(server.runs[request_id] for server in fleet.server_by_host.values())
                    runs.append(ran)
                    counts["never"] += 1
                    record.write(f"{method} {request_id} ran {ran} times, has no answer after "
                                 f"{answer.seconds:.2f} s: {answer.body.decode()}")  # fmt: skip
                    sock.close()
                    sock = None
                else:
                    counts["late" if answer.seconds > TIMEOUT_S else "answered"] += 1
                    if answer.headers.get("connection") == "close":
                        sock.close()
                        sock = None

        threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        record.write(
            f"answered within the timeout {counts['answered']}, within 0.5 s after it "
            f"{counts['late']}, never {counts['never']}, of which {sum(runs)} ran"
        )
        return counts["never"] > 5 and counts["never"] > counts["late"]
    finally:
        fleet.close()


main(run)
