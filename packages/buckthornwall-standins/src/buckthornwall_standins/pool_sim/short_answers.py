"""Dozens of instances whose engines mostly read: short answers, a few long ones.

Drafts come 2.6 times as often from the first second on, when no engine holds any of
their shared parts; an eighth and a quarter of the engines crash; then lists, drafts and
questions come two to three times as often.
"""

import argparse
import sys

from loguru import logger

from .engine import EngineSpeed
from .large import WORTH
from .request import Traffic
from .simulation import EngineFault, PoolSimulation

__all__ = ["credit", "main", "play_short_answers"]

ENGINES = 70
INSTANCES = 84
SPEED = EngineSpeed(
    step_s=0.0066,
    tokens_per_s=50_700.0,
    piece=1024,
    context_s=0.00037,
    slots=32,
    memory_tokens=270_000,
    tokens_per_event=5,
    queued=96,
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
    own_tokens=2890,
    answer_tokens=52,
    subjects=2875,
    retries=1,
    bursts=((0.5, 9.5, 2.6), (16.5, 18.5, 2.9)),
    patience_s=4.94,
    spread=0.8,
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
    own_tokens=1800,
    answer_tokens=23,
    subjects=850,
    retries=1,
    bursts=((13.8, 18.5, 2.0),),
    patience_s=2.0,
    spread=0.8,
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
    own_tokens=543,
    answer_tokens=280,
    subjects=1176,
    retries=1,
    bursts=((11.0, 16.0, 2.76),),
    patience_s=2.0,
    spread=0.8,
)
SECONDS = 20.0
# What a request is worth, in the mean of its route: a part whatever its size, and most.
LEAST_WORTH = 0.3
MOST_WORTH = 4.0


def play_short_answers(
    staleness_s: float,
    seed: int = 1,
    times: float = 1.0,
    engines: int = ENGINES,
    instances: int = INSTANCES,
    seconds: float = SECONDS,
) -> PoolSimulation:
    """Play the load on some engines, and return what became of it.

    Parameters
    ----------
    staleness_s
        How old what instances hear of each other is, in seconds.
    seed
        Of the arrivals and the lengths.
    times
        How much comes, against a usual day.
    engines, instances
        How many of each; traffic and subjects are in proportion to the engines.
    seconds
        How long requests come.
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
    """Return what all callers got, from 0 to 1; time counts from when they first asked.

    Weighed by the worth of their answers, and by their size against the mean.
    """
    earned = owed = 0.0
    for name in WORTH:
        own = simulation.of(name)
        mean = sum(each.prompt.prompt_tokens for each in own) / len(own)
        for request in own:
            size = request.prompt.prompt_tokens / mean
            worth = WORTH[name] * min(
                MOST_WORTH, LEAST_WORTH + (1 - LEAST_WORTH) * size
            )
            owed += worth
            earned += worth * request.credit_from_first
    return earned / owed


def served_of_largest(simulation: PoolSimulation, name: str) -> float:
    """Return how often the largest tenth is served, against all of a route."""
    own = sorted(simulation.of(name), key=lambda each: each.prompt.prompt_tokens)
    largest = own[-max(1, len(own) // 10) :]
    served = sum(each.done for each in own) / len(own)
    return sum(each.done for each in largest) / len(largest) / served


def describe(simulation: PoolSimulation) -> str:
    """Return a line of figures."""
    pairs = [f"credit={credit(simulation):.3f}"]
    for name in WORTH:
        own = simulation.of(name)
        mean = sum(each.credit_from_first for each in own) / len(own)
        refused = sum(each.refused for each in own) / len(own)
        failed = sum(each.failed for each in own) / len(own)
        pairs.append(f"{name}={mean:.3f} refused={refused:.2f} failed={failed:.2f}")
    pairs.append(f"largest={served_of_largest(simulation, 'draft'):.2f}")
    read = sum(engine.fresh_tokens for engine in simulation.engines.values())
    pairs.append(f"read_m={read / 1e6:.1f}")
    return " ".join(pairs)


def main() -> int:
    """Print a line for each seed and age of word."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--word-age", type=float, nargs="+", default=[0.3])
    parser.add_argument("--times", type=float, default=1.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--engines", type=int, default=ENGINES)
    parser.add_argument("--instances", type=int, default=INSTANCES)
    options = parser.parse_args()
    logger.remove()
    for staleness_s in options.word_age:
        for seed in options.seeds:
            simulation = play_short_answers(
                staleness_s, seed, options.times, options.engines, options.instances
            )
            print(f"staleness_s={staleness_s} seed={seed} {describe(simulation)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
