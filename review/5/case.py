"""A removal that follows a heartbeat at once is lost at the daemons that watch the store."""

import threading
import time

from review.harness import TROUBLE, Deployment, ask, main
from tests.users.fleet import CALL, configuration

DRAIN_S = 2.0
"""Bound `drain` of the site."""
HEARTBEAT_S = 1.5
STAGGER_S = 0.12
"""Time between the heartbeats of two endpoints."""
LEAVING_S = 15.0
"""Time for which the endpoint serves after its removal: at times many seconds."""


def run(record) -> bool:
    fleet = Deployment(3, subnet=55)  # Three zones of one machine, each of which watches the store.
    try:
        for server in fleet.server_by_host.values():
            server.service_s = 0.1
        config = configuration(2)
        for row in config["services"]["rows"]:
            row[5:] = ["3s", 14.0]  # `warmup` and `cold_per_s` of the site.
        fleet.store.put("op/config", config)
        fleet.start_all()
        leaving = fleet.server_by_host[fleet.hosts[2]]
        ended = threading.Event()

        def client(number: int) -> None:
            count = 0
            while not ended.is_set():
                count += 1
                address, request_id = (
                    fleet.address(fleet.hosts[number % 3], CALL),
                    f"c{number}-{count}",
                )
                if number < 3:
                    answer = ask(address, "GET", "/alpha/read/x", request_id, 3000)
                else:
                    answer = ask(address, "POST", "/alpha/write/x", request_id, 3000, b"x")
                if answer.status != 200:
                    record.write(f"{'GET' if number < 3 else 'POST'} {request_id} answered "
                                 f"{answer.status}, ran {leaving.runs[request_id]} times at the "
                                 "endpoint that left")  # fmt: skip
                time.sleep(0.03)

        threads = [threading.Thread(target=client, args=(number,)) for number in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(4)
        # All endpoints are cold for 3 s, which their entries state at each heartbeat.
        for cold_ms in (3000, 1500):
            for server in fleet.server_by_host.values():
                if TROUBLE:
                    server.cold_until = time.monotonic() + cold_ms / 1000
                    server.register(cold_ms=cold_ms)
                    record.write(f"heartbeat of {server.id}: ready, cold_left {cold_ms}ms")
                time.sleep(STAGGER_S)
            if cold_ms == 3000:
                time.sleep(HEARTBEAT_S - 3 * STAGGER_S)
        leaving.deregister()
        removed = time.monotonic()
        record.write(f"the store acknowledged the removal of {leaving.id}, which never reported "
                     "draining")  # fmt: skip
        time.sleep(LEAVING_S)
        leaving.fault = "reset"  # It ends: what still runs there gets no answer.
        leaving.close()
        record.write("the endpoint ends")
        time.sleep(2)
        ended.set()
        for thread in threads:
            thread.join()
        late = [at - removed for at in leaving.arrived_at if at > removed + DRAIN_S]
        record.write(f"{len(late)} requests reached it later than {DRAIN_S} s after that"
                     + (f", the last one {max(late):.2f} s" if late else ""))  # fmt: skip
        return bool(late)
    finally:
        fleet.close()


main(run)
