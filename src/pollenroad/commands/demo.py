"""`pollenroad demo`: run an example deployment on this machine."""

import time

from pollenroad.bench.fleet import Fleet, running_fleet
from pollenroad.operators.demo import load_documents, make_plan, run_demo, table

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


def _hold(folder: str, seconds: float) -> int:
    with running_fleet(make_plan(load_documents(folder))) as fleet:
        _print_addresses(fleet)
        try:
            time.sleep(seconds)
        except KeyboardInterrupt:
            print("ended")
    return 0


def run(*, example: str = EXAMPLE, hold: bool = False, seconds: float = 3600.0) -> int:
    """Run an example deployment on loopback, under load, while an operator changes it.

    Args:
        example: Folder of the deployment.
        hold: Start the fleet, print its addresses, and keep it running instead.
        seconds: Longest time to hold it.

    Returns:
        0 if no call was lost, mixed up, run twice or cut off, else 1.
    """
    if hold:
        return _hold(example, seconds)
    result = run_demo(example)
    print()
    for line in table(result):
        print(line)
    print(f"\n{result.summary}")
    return 0 if result.ok else 1
