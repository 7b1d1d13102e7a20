"""Simulate dozens of instances whose engines mostly prefill: few answers are long.

Drafts come 2.6 times as often from the first second on, when no engine has cached any
of their shared segments; an eighth and a quarter of the engines crash; then lists,
drafts and questions come two to three times as often.
"""

import sys

from .engine import EngineSpeed
from .large import WORTH
from .report import describe_routes, make_parser, print_results
from .request import Traffic
from .simulation import EngineFault, PoolSimulation

__all__ = ["credit", "main", "simulate_short_answers"]

ENGINES = 70
INSTANCES = 84
SPEED = EngineSpeed(
    decode_step_s=0.0066,
    prefill_tokens_per_s=50_700.0,
    chunk_tokens=1024,
    attention_s_per_m_pairs=0.00037,
    slots=32,
    memory_tokens=270_000,
    tokens_per_event=5,
    max_queued=96,
)
DRAFTS = Traffic(
    name="draft",
    per_s=175,
    tier=2,
    target_s=1.235,
    max_pause_s=0.6,
    deadline_s=6.18,
    root_tokens=2520,
    shared_tokens=3780,
    unique_tokens=2890,
    answer_tokens=52,
    subjects=2875,
    retries=1,
    bursts=((0.5, 9.5, 2.6), (16.5, 18.5, 2.9)),
    client_timeout_s=4.94,
    length_log_sigma=0.8,
)
QUESTIONS = Traffic(
    name="question",
    per_s=126,
    tier=1,
    target_s=0.42,
    max_pause_s=0.25,
    deadline_s=3.14,
    root_tokens=341,
    shared_tokens=227,
    unique_tokens=1800,
    answer_tokens=23,
    subjects=850,
    retries=1,
    bursts=((13.8, 18.5, 2.0),),
    client_timeout_s=2.0,
    length_log_sigma=0.8,
)
LISTS = Traffic(
    name="list",
    per_s=45,
    tier=0,
    target_s=0.265,
    max_pause_s=0.15,
    deadline_s=15.9,
    root_tokens=103,
    shared_tokens=69,
    unique_tokens=543,
    answer_tokens=280,
    subjects=1176,
    retries=1,
    bursts=((11.0, 16.0, 2.76),),
    client_timeout_s=2.0,
    length_log_sigma=0.8,
)
SECONDS = 20.0
# Bounds of a request's worth, relative to the mean of its route: the part that does
# not depend on its size, and the maximum.
MIN_WORTH = 0.3
MAX_WORTH = 4.0


def simulate_short_answers(
    staleness_s: float,
    seed: int = 1,
    times: float = 1.0,
    engines: int = ENGINES,
    instances: int = INSTANCES,
    seconds: float = SECONDS,
) -> PoolSimulation:
    """Run the load and return the finished simulation.

    Parameters
    ----------
    staleness_s
        Age of peers' reports when they arrive, in seconds.
    seed
        Seed of the arrivals and the lengths.
    times
        Request rate relative to a usual day.
    engines, instances
        Numbers of both; traffic and subjects are in proportion to the engines.
    seconds
        How long requests arrive, in simulated seconds.
    """
    share = engines / ENGINES
    simulation = PoolSimulation(
        SPEED,
        [each.scaled(times * share, share) for each in (DRAFTS, QUESTIONS, LISTS)],
        engines,
        instances,
        seed,
        staleness_s,
        (
            EngineFault(6.5, round(0.12 * engines), 4.4),
            EngineFault(9.5, round(0.25 * engines), 2.0),
        ),
    )
    simulation.run(seconds)
    return simulation


def credit(simulation: PoolSimulation) -> float:
    """Return the credit of all callers, from 0 to 1, timed from their first attempts.

    Weighted by the worth of their answers and by prompt size relative to the mean.
    """
    earned = possible = 0.0
    for name in WORTH:
        requests = simulation.requests_of(name)
        mean = sum(each.prompt.prompt_tokens for each in requests) / len(requests)
        for request in requests:
            size = request.prompt.prompt_tokens / mean
            worth = WORTH[name] * min(MAX_WORTH, MIN_WORTH + (1 - MIN_WORTH) * size)
            possible += worth
            earned += worth * request.credit_from_first
    return earned / possible


def largest_served_ratio(simulation: PoolSimulation, name: str) -> float:
    """Return the served share of a route's largest tenth relative to all of it."""
    requests = sorted(
        simulation.requests_of(name), key=lambda each: each.prompt.prompt_tokens
    )
    largest = requests[-max(1, len(requests) // 10) :]
    served = sum(each.done for each in requests) / len(requests)
    return sum(each.done for each in largest) / len(largest) / served


def describe(simulation: PoolSimulation) -> str:
    """Return one line of figures."""
    routes = describe_routes(
        simulation, list(WORTH), lambda request: request.credit_from_first
    )
    largest = largest_served_ratio(simulation, "draft")
    return " ".join(
        [f"credit={credit(simulation):.3f}", *routes, f"largest={largest:.2f}"]
    )


def main() -> int:
    """Print one line for each age of reports and seed."""
    options = make_parser(__doc__, ENGINES, INSTANCES, [0.3]).parse_args()
    sizes = (options.times, options.engines, options.instances)

    def simulate(staleness_s: float, seed: int) -> PoolSimulation:
        return simulate_short_answers(staleness_s, seed, *sizes)

    print_results(options, simulate, describe)
    return 0


if __name__ == "__main__":
    sys.exit(main())
