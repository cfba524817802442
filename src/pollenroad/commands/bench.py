"""`pollenroad bench`: run one measurement."""

import importlib
import json as json_module
import sys
from pathlib import Path

BENCHES = (
    "added-latency",
    "peer-link",
    "tail",
    "overload",
    "failure-domain",
    "measuring",
    "limits",
    "config",
    "membership",
    "faults",
    "capacity",
    "noise",
    "server-limit",
    "recovery",
)


def run(
    name: str, *, json: bool = False, seed: int = 1, out: str = "", replay: bool = False
) -> int:
    """Run one measurement on this machine, over loopback.

    Args:
        name: added-latency, peer-link, tail, overload, failure-domain, measuring, limits, config,
            membership, faults, capacity, noise, server-limit or recovery.
        json: Print the result as one JSON object on the last line.
        seed: Seed of the load and of the faults.
        out: File to which the JSON is also written, for `pollenroad report`.
        replay: With overload, simulate loads that exceed the capacity instead of real processes.

    Returns:
        0 if every target is met, 1 if not or if the measurement failed.
    """
    if name not in BENCHES:
        print(f"no bench {name!r}; there are: {', '.join(BENCHES)}", file=sys.stderr)
        return 1
    if replay and name != "overload":
        print("only the bench overload has a replay", file=sys.stderr)
        return 1
    module_name = f"{name.replace('-', '_')}{'_replay' if replay else ''}"
    module = importlib.import_module(f"pollenroad.bench.{module_name}")
    result = {"bench": name, **module.run(seed=seed)}
    line = json_module.dumps(result)
    if out:
        Path(out).write_text(line + "\n")
    print(line if json else json_module.dumps(result, indent=2))
    return 0 if result.get("ok", True) else 1
