"""Command line of the pool simulations: one line of figures for each run."""

import argparse
from collections.abc import Callable

from loguru import logger

from .request import SimRequest
from .simulation import PoolSimulation

__all__ = ["describe_routes", "make_parser", "print_results"]


def make_parser(
    description: str, engines: int, instances: int, staleness_s: list[float]
) -> argparse.ArgumentParser:
    """Return a parser for the number and size of the simulations of a load."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument("--word-age", type=float, nargs="+", default=staleness_s)
    parser.add_argument("--times", type=float, default=1.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--engines", type=int, default=engines)
    parser.add_argument("--instances", type=int, default=instances)
    return parser


def print_results(
    options: argparse.Namespace,
    simulate: Callable[[float, int], PoolSimulation],
    describe: Callable[[PoolSimulation], str],
) -> None:
    """Print one line for each age of reports and seed.

    Parameters
    ----------
    options
        Options parsed by the parser of `make_parser`.
    simulate
        Runs the load, given the age of peers' reports in seconds and a seed.
    describe
        Returns the figures of a simulation.
    """
    logger.remove()
    for staleness_s in options.word_age:
        for seed in options.seeds:
            simulation = simulate(staleness_s, seed)
            print(f"staleness_s={staleness_s} seed={seed} {describe(simulation)}")


def describe_routes(
    simulation: PoolSimulation,
    routes: list[str],
    credit_of: Callable[[SimRequest], float],
) -> list[str]:
    """Return each route's figures and the prefilled tokens, as `key=value` texts.

    `read_m` counts the prompt tokens that engines prefilled, in millions.
    """
    pairs = []
    for name in routes:
        requests = simulation.requests_of(name)
        credit = sum(credit_of(each) for each in requests) / len(requests)
        refused = sum(each.refused for each in requests) / len(requests)
        failed = sum(each.failed for each in requests) / len(requests)
        pairs.append(f"{name}={credit:.3f} refused={refused:.2f} failed={failed:.2f}")
    prefilled = sum(engine.prefilled_tokens for engine in simulation.engines.values())
    return [*pairs, f"read_m={prefilled / 1e6:.1f}"]
