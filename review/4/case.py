"""One malformed entry of another writer keeps every update from the daemons that do not watch."""

import json
import time

from review.harness import TROUBLE, Deployment, ask, main
from tests.users.fleet import CALL, configuration

CONFIG_S = 2.0
"""Bound `config` of the site."""


def run(record) -> bool:
    fleet = Deployment(6, subnet=54)  # Three zones of two machines.
    try:
        fleet.start_all()
        time.sleep(4)  # Daemons have elected the ones that watch the store; nobody is disturbed.
        if TROUBLE:
            entry = {"service": "delta", "addr": "127.0.54.99:8147", "zone": "a",
                     "version": "v1", "slots": 10**30, "state": "ready", "cold_left": "0ms",
                     "seq": 1, "born": 1}  # fmt: skip
            fleet.store.put("servers/i-other-writer", entry)
            record.write(f"another writer put servers/i-other-writer {json.dumps(entry)}")
        time.sleep(6)
        config = configuration(2)
        new = list(config["routes"]["rows"][0])
        new[0], new[2] = "r-new", "/alpha/new/"
        config["routes"]["rows"].append(new)
        fleet.store.put("op/config", config)
        acknowledged = time.monotonic()
        record.write("the store acknowledged version 2, which adds the route /alpha/new/")
        broken = 0
        for wait_s in (CONFIG_S + 0.5, CONFIG_S + 5, CONFIG_S + 15):
            time.sleep(max(0.0, acknowledged + wait_s - time.monotonic()))
            for number, host in enumerate(fleet.hosts):
                answer = ask(fleet.address(host, CALL), "GET", "/alpha/new/x",
                             f"n{wait_s}-{number}", 3000)  # fmt: skip
                record.write(f"{host}: GET /alpha/new/x {wait_s} s after the acknowledgement: "
                             f"{answer.status}")  # fmt: skip
                broken += answer.status == 404
        record.write(f"{broken} requests refused with 404 as only the older version allows")
        return broken > 0
    finally:
        fleet.close()


main(run)
