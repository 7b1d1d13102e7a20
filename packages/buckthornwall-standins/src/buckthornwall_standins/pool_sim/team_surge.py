"""Simulate a team that sends many times its usual before engines that were busy.

The teams ask for unequal parts of a load that the engines serve in time. One of the
larger ones then multiplies its demand for some seconds, with and without shares of
teams.
"""

import sys
from dataclasses import replace

from buckthornwall.pools import PoolSettings

from .competing import (
    ALIKE,
    HINTS,
    REVIEWS,
    STREAMS,
    UNEQUAL,
    WORTH,
    CompetingLoad,
    credit_of,
)
from .report import describe_routes, make_parser, print_results
from .simulation import PoolSimulation

__all__ = [
    "SURGE",
    "SURGING_TEAM",
    "WEIGHTS",
    "main",
    "simulate_surge",
    "team_credit",
]

ENGINES = 45
INSTANCES = 86
SECONDS = 16.0
SURGE = (5.0, 13.0)
# A few large teams and many small ones; the first, which surges, is in between.
WEIGHTS = (3.0, 8.0, 6.0, 5.0, 4.0, *(1.0,) * 19)
SURGING_TEAM = "team0"


def simulate_surge(
    load: CompetingLoad,
    staleness_s: float,
    seed: int = 1,
    factor: float = 12.0,
    shares: bool = True,
    engines: int = ENGINES,
    instances: int = INSTANCES,
) -> PoolSimulation:
    """Run the load with a surge by a factor and return the finished simulation."""
    share = engines / ENGINES
    surges = ((*SURGE, factor),)
    traffic = [
        replace(each.scaled(load.times * share, share), bursts=(), team_weights=WEIGHTS)
        for each in (REVIEWS, HINTS, STREAMS)
    ]
    simulation = PoolSimulation(
        load.speed,
        [replace(traffic[0], surges=surges), *traffic[1:]],
        engines,
        instances,
        seed,
        staleness_s,
        relative_speeds=load.relative_speeds,
        disturbance=load.disturbance,
        settings=PoolSettings(team_shares=shares),
    )
    simulation.run(SECONDS)
    return simulation


def team_credit(
    simulation: PoolSimulation, is_surging: bool, route: str = "review"
) -> float:
    """Return the mean credit of a route's requests during the surge, 0 to 1.

    Parameters
    ----------
    simulation
        A finished simulation.
    is_surging
        Whether the requests are those of the team that surges, or of all others.
    route
        Name of the route.
    """
    credits = [
        credit_of(each)
        for each in simulation.requests_of(route)
        if (each.team == SURGING_TEAM) is is_surging
        and SURGE[0] <= each.first_asked_at < SURGE[1]
    ]
    return sum(credits) / len(credits)


def describe(simulation: PoolSimulation) -> str:
    """Return one line of figures; `surging` and `others` are reviews in the surge."""
    figures = [
        f"surging={team_credit(simulation, True):.3f}",
        f"others={team_credit(simulation, False):.3f}",
    ]
    return " ".join([*figures, *describe_routes(simulation, list(WORTH), credit_of)])


def main() -> int:
    """Print one line for each kind of pool, surge, use of shares and seed."""
    parser = make_parser(__doc__, ENGINES, INSTANCES, [0.3])
    options = parser.parse_args()
    sizes = (options.engines, options.instances)
    for name, load in (("alike", ALIKE), ("unequal", UNEQUAL)):
        load = replace(load, times=options.times)
        for factor, shares in ((1.0, True), (12.0, False), (12.0, True)):
            print(f"pool={name} factor={factor} shares={shares}")

            def simulate(
                staleness_s: float,
                seed: int,
                load: CompetingLoad = load,
                factor: float = factor,
                shares: bool = shares,
            ) -> PoolSimulation:
                return simulate_surge(load, staleness_s, seed, factor, shares, *sizes)

            print_results(options, simulate, describe)
    return 0


if __name__ == "__main__":
    sys.exit(main())
