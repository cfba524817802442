"""Running the machines with a seed, and the mutants against them."""

import contextlib
import io
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from .fleet_machine import FleetMachine
from .machines import CallMachine
from .mutants import MUTANTS, Mutant
from .oracle import BrokenPromiseError

STEPS_PER_EXAMPLE = 40
MACHINE_BY_NAME = {"calls": CallMachine, "fleet": FleetMachine}
BUDGET_BY_MACHINE = {"calls": 300, "fleet": 100}
"""Examples of one ordinary run."""


@dataclass
class Run:
    """What one run of a machine came to."""

    machine: str
    seed: int
    examples: int = 0
    steps: int = 0
    seconds: float = 0.0
    checks: Counter = field(default_factory=Counter)
    first_failure: int = 0
    """Number of the example that failed first, or 0."""
    error: BaseException | None = None

    @property
    def invariant(self) -> str:
        """The broken promise, an error's type, or an empty string."""
        match self.error:
            case None:
                return ""
            case BrokenPromiseError() as broken:
                return broken.invariant
        return type(self.error).__name__

    @property
    def reproduction(self) -> str:
        return (
            f".venv/bin/python -m tests.fuzz --machine {self.machine} --seed {self.seed} "
            f"--examples {BUDGET_BY_MACHINE[self.machine]}"
        )


def run_machine(
    name: str, number: int, examples: int = 0, shrink: bool = False, only: str = ""
) -> Run:
    """Run one machine with a seed; the same seed gives the same examples.

    Args:
        name: `calls` or `fleet`.
        number: The seed.
        examples: Examples to run; 0 for the ordinary budget.
        shrink: Whether a failure is made small, and its steps printed.
        only: The promise whose breach ends the run; empty for every one.
    """
    run = Run(name, number)
    machine = type(name, (MACHINE_BY_NAME[name],), {"examples": 0, "steps": 0})
    machine.checks = run.checks
    machine.failed_at = 0
    machine.only = only
    seed(number)(machine)
    rules = settings(
        max_examples=examples or BUDGET_BY_MACHINE[name],
        stateful_step_count=STEPS_PER_EXAMPLE,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate, Phase.shrink] if shrink else [Phase.generate],
        report_multiple_bugs=False,
        print_blob=False,
    )
    begin = time.monotonic()
    output = contextlib.nullcontext() if shrink else contextlib.redirect_stdout(io.StringIO())
    try:
        with output:
            run_state_machine_as_test(machine, settings=rules)
    except Exception as error:
        run.error = error
        run.first_failure = machine.failed_at or 1
    run.seconds = time.monotonic() - begin
    run.examples = machine.examples
    run.steps = machine.steps
    return run


def hunt(mutant: Mutant, number: int) -> Run:
    """Run the mutant's machine with its ordinary budget, until its own promise is broken."""
    with mutant.applied():
        return run_machine(mutant.machine, number, only=mutant.invariant)


def mutant_table(number: int) -> Iterator[tuple[str, bool]]:
    """Yield a line for each mutant, and whether it was found as what it is."""
    for mutant in MUTANTS:
        run = hunt(mutant, number)
        found = run.invariant == mutant.invariant
        needed = str(run.first_failure) if found else f"not found, but {run.invariant!r}"
        yield f"{mutant.invariant:<52} {mutant.name:<24} {needed}", found
