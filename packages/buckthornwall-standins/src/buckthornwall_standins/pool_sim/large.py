"""Simulate the worst load of a fleet of hundreds of instances and dozens of engines.

Long drafts come twice as often from the first second on, when no engine has cached any
of their shared segments; then a sixth and a quarter of the engines crash, and short
questions come 2.6 times as often.
"""

import sys
from dataclasses import dataclass

from .engine import EngineSpeed
from .report import describe_routes, make_parser, print_results
from .request import Traffic
from .simulation import EngineFault, PoolSimulation

__all__ = ["LargeLoad", "main", "simulate_large"]

# An engine of 24 slots that prefills 50 tokens in a millisecond.
SPEED = EngineSpeed(
    decode_step_s=0.006,
    prefill_tokens_per_s=50_000.0,
    slots=24,
    memory_tokens=276_000,
    tokens_per_event=3,
    max_queued=8,
)
ENGINES = 59
INSTANCES = 195
SECONDS = 11.0
# Long drafts, twice as frequent from the first second on.
DRAFTS = Traffic(
    name="draft",
    per_s=160,
    tier=2,
    target_s=1.2,
    max_pause_s=0.5,
    deadline_s=6.0,
    root_tokens=2520,
    shared_tokens=3780,
    unique_tokens=2890,
    answer_tokens=51,
    subjects=1757,
    retries=1,
    bursts=((0.5, 9.5, 2.04),),
)
QUESTIONS = Traffic(
    name="question",
    per_s=81,
    tier=1,
    target_s=0.4,
    max_pause_s=0.2,
    deadline_s=4.0,
    root_tokens=341,
    shared_tokens=227,
    unique_tokens=1800,
    answer_tokens=24,
    subjects=1160,
    retries=1,
    bursts=((6.1, 16.1, 2.6),),
)
# The most urgent route: short prompts and long, pause-sensitive answers.
LISTS = Traffic(
    name="list",
    per_s=42,
    tier=0,
    target_s=0.2,
    max_pause_s=0.12,
    deadline_s=15.0,
    root_tokens=103,
    shared_tokens=69,
    unique_tokens=543,
    answer_tokens=279,
    subjects=901,
    retries=1,
)
# Value of an answer to its caller, by route.
WORTH = {"draft": 2.0, "question": 1.6, "list": 3.7}


@dataclass(frozen=True, slots=True)
class LargeLoad:
    """Request rate relative to a usual day, and the shares of engines that crash."""

    times: float = 1.0
    first_crash: float = 0.15
    second_crash: float = 0.25

    def traffic(self, share: float) -> list[Traffic]:
        """Return the callers' traffic for this share of the engines."""
        return [
            traffic.scaled(self.times * share, share)
            for traffic in (DRAFTS, QUESTIONS, LISTS)
        ]

    def faults(self, engines: int) -> tuple[EngineFault, ...]:
        """Return the crashes, for this number of engines."""
        return (
            EngineFault(2.5, round(self.first_crash * engines), 4.3),
            EngineFault(5.5, round(self.second_crash * engines), 2.0),
        )


def simulate_large(
    load: LargeLoad,
    staleness_s: float,
    seed: int = 1,
    seconds: float = SECONDS,
    engines: int = ENGINES,
    instances: int = INSTANCES,
) -> PoolSimulation:
    """Run a load and return the finished simulation."""
    simulation = PoolSimulation(
        SPEED,
        load.traffic(engines / ENGINES),
        engines,
        instances,
        seed,
        staleness_s,
        load.faults(engines),
    )
    simulation.run(seconds)
    return simulation


def credit(simulation: PoolSimulation) -> float:
    """Return the credit of all callers, weighted by worth, from 0 to 1."""
    earned = possible = 0.0
    for request in simulation.requests:
        worth = WORTH[request.traffic.name]
        possible += worth
        earned += worth * request.credit
    return earned / possible


def describe(simulation: PoolSimulation) -> str:
    """Return one line of figures."""
    routes = describe_routes(simulation, list(WORTH), lambda request: request.credit)
    return " ".join([f"credit={credit(simulation):.3f}", *routes])


def main() -> int:
    """Print one line for each age of reports and seed."""
    options = make_parser(__doc__, ENGINES, INSTANCES, [0.2, 0.9]).parse_args()
    load, sizes = LargeLoad(options.times), (options.engines, options.instances)

    def simulate(staleness_s: float, seed: int) -> PoolSimulation:
        return simulate_large(load, staleness_s, seed, SECONDS, *sizes)

    print_results(options, simulate, describe)
    return 0


if __name__ == "__main__":
    sys.exit(main())
