"""A late second copy of a refusal answers the same request when it is sent to that server again."""

import random
import signal
import threading
import time

from review.harness import TROUBLE, Deployment, ask, main
from tests.users.fleet import APP, CALL, await_condition, configuration
from tests.users.raw_http import answer_bytes, read_message
from tests.users.server import StandInServer

SECONDS = 80
SAFE_REQUESTS = 36
"""Safe requests between two that are unsafe."""
SHED_SHARE = 0.45
"""srv_grey, how = "shed": x = 0.45 in the site file."""
COPY_SHARE = 0.03
"""garble, how = "extra late": x = 0.03 in the site file, of all answers."""
DOWN_S = 3.5
"""node_kill: for_s = 3.5 in the site file."""
UP_S = 3.0
PROMISES = (408, 421, 429, 503)


class GreyServer(StandInServer):
    """Refuses a part of its unsafe requests; some of the refusals come a second time, late."""

    answers = 0
    copies = 0
    sheds = 0
    _random = random.Random(1)

    def _serve(self, handler) -> None:
        late = b""
        while (message := read_message(handler.rfile)) is not None:
            first, headers, body = message
            handler.wfile.write(late)
            late = b""
            method, path, _ = first.split()
            if path == "/healthz":
                handler.wfile.write(self._health())
                continue
            attempt = headers.get("x-attempt-id", "")
            self.answers += 1
            if TROUBLE and method == "POST" and self._random.random() < SHED_SHARE:
                self.sheds += 1
                fields = self._load() | {"X-Not-Executed": "1", "X-Attempt-Id": attempt}
                answer = answer_bytes(503, fields, b"")
                if self.copies + 1 <= COPY_SHARE * self.answers:
                    self.copies += 1
                    late = answer
            else:
                answer = self._run(handler, method, path, headers, body)
            handler.wfile.write(answer)


class Fleet(Deployment):
    def make_server(self, host: str) -> StandInServer:
        kind = GreyServer if host == self.hosts[0] else StandInServer
        port = int(self.address(host, APP).rpartition(":")[2])
        server = kind(self.store, host, port, self.service(host), self.failure_domain(host))
        server.service_s = 0.02
        return server


def run(record) -> bool:
    fleet = Fleet(2, subnet=51)  # Two zones; the clients are on the machine of the grey endpoint.
    near, far = fleet.hosts
    try:
        config = configuration(2, timeout="3000ms")
        for row in config["routes"]["rows"]:
            row[5] = "1500ms"  # Latency objective.
        fleet.store.put("op/config", config)
        fleet.start_all()
        ended = threading.Event()

        def kill_and_restart() -> None:
            while not ended.wait(UP_S):
                fleet.signal(far, signal.SIGKILL)
                fleet.process_by_host[far].wait()
                record.write(f"killed the daemon on {far}")
                ended.wait(DOWN_S)
                fleet.start(far)
                await_condition(lambda: fleet.is_ready(far))
                record.write(f"the daemon on {far} is ready again")

        killer = threading.Thread(target=kill_and_restart)
        if TROUBLE:
            killer.start()
        answer_by_id, end, rounds = {}, time.monotonic() + SECONDS, 0
        while time.monotonic() < end:
            rounds += 1
            for number in range(SAFE_REQUESTS):
                ask(fleet.address(near, CALL), "GET", "/alpha/read/x", f"r{rounds}-{number}", 6000)
            request_id = f"w{rounds}"
            answer = ask(
                fleet.address(near, CALL), "POST", "/alpha/write/x", request_id, 6000, b"x"
            )
            answer_by_id[request_id] = answer
            record.write(f"POST {request_id} answered {answer.status} "
                         f"{'by the daemon' if answer.is_own else 'by an endpoint'} "
                         f"after {answer.seconds:.3f} s")  # fmt: skip
        ended.set()
        if TROUBLE:
            killer.join()
        time.sleep(1)
        broken = 0
        for request_id, answer in answer_by_id.items():
            runs = sum(server.runs[request_id] for server in fleet.server_by_host.values())
            if runs and answer.status in PROMISES:
                broken += 1
                record.write(f"BROKEN: {request_id} answered {answer.status}, and ran {runs} time")
        grey = fleet.server_by_host[near]
        record.write(f"{len(answer_by_id)} unsafe requests; the grey endpoint gave {grey.answers} "
                     f"answers, of them {grey.sheds} refusals, and {grey.copies} late copies; "
                     f"{broken} requests answered as not run have run")  # fmt: skip
        return broken > 0
    finally:
        fleet.close()


main(run)
