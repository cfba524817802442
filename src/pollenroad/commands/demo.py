"""`pollenroad demo`: run an example deployment on this machine."""

import time

from pollenroad.bench.fleet import Fleet, running_fleet
from pollenroad.operators.demo import (
    load_rendered_documents,
    make_fleet_plan,
    run_demo,
    table_lines,
)

EXAMPLE = "examples/merrimack"


def _print_addresses(fleet: Fleet) -> None:
    print(f"{'endpoint':<16}{'failure domain':<16}{'calls':<20}operators")
    for node in fleet.nodes:
        endpoint = node.endpoint
        domain = endpoint.failure_domain
        print(f"{endpoint.name:<16}{domain:<16}{node.call_address:<20}{node.operator_address}")
    operators = " ".join(node.operator_address for node in fleet.nodes)
    print(f"\ntry: pollenroad status {operators}")
    entry, service = fleet.nodes[0].call_address, fleet.nodes[0].service
    print(f"     pollenroad call {entry} {service} /numbers/17")
    print("Ctrl-C ends it.", flush=True)


def _run_until_interrupted(folder: str, seconds: float) -> int:
    with running_fleet(make_fleet_plan(load_rendered_documents(folder))) as fleet:
        _print_addresses(fleet)
        try:
            time.sleep(seconds)
        except KeyboardInterrupt:
            print("ended")
    return 0


def run(*, example: str = EXAMPLE, hold: bool = False, seconds: float = 3600.0) -> int:
    """Run an example deployment on loopback, under load, while an operator changes it.

    Args:
        example: Directory of the deployment.
        hold: Start the fleet, print its addresses, and keep it running instead.
        seconds: Longest time to keep it running, in seconds.

    Returns:
        0 if no call was lost, mixed up, run twice or cut off, else 1.
    """
    if hold:
        return _run_until_interrupted(example, seconds)
    result = run_demo(example)
    print()
    for line in table_lines(result):
        print(line)
    print(f"\n{result.summary}")
    return 0 if result.ok else 1
