"""Simulate callers who compete for too little room before unequal engines.

Long reviews come 2.7 times as often from the first second on, when no engine has cached
any of their shared segments. A quarter of the engines crash, and while they return the
most urgent streams, which may hardly pause, come five times as often as usual.
"""

import sys
from dataclasses import dataclass

from .engine import Disturbance, EngineSpeed
from .report import describe_routes, make_parser, print_results
from .request import SimRequest, Traffic
from .simulation import EngineFault, PoolSimulation

__all__ = ["ALIKE", "UNEQUAL", "CompetingLoad", "main", "simulate_competing"]

ENGINES = 45
INSTANCES = 86
SECONDS = 20.0
# Engines that are alike and state nothing, of 64 slots, seven tokens to an event.
ALIKE_SPEED = EngineSpeed(
    decode_step_s=0.0038,
    prefill_tokens_per_s=56_600.0,
    attention_s_per_m_pairs=0.00012,
    slots=64,
    memory_tokens=274_000,
    tokens_per_event=7,
    max_queued=192,
    step_per_running_s=0.00009,
)
# Engines of three speeds that share their machines, of 48 slots, five tokens to an
# event.
UNEQUAL_SPEED = EngineSpeed(
    decode_step_s=0.0051,
    prefill_tokens_per_s=51_100.0,
    attention_s_per_m_pairs=0.00032,
    slots=48,
    memory_tokens=281_000,
    tokens_per_event=5,
    max_queued=144,
    step_per_running_s=0.00003,
)
REVIEWS = Traffic(
    name="review",
    per_s=138,
    tier=2,
    target_s=1.5,
    max_pause_s=1.2,
    deadline_s=4.0,
    root_tokens=2520,
    shared_tokens=3780,
    unique_tokens=2890,
    answer_tokens=52,
    subjects=1373,
    retries=1,
    bursts=((0.5, 9.5, 2.69), (17.5, 21.0, 2.56)),
    length_log_sigma=0.7,
    client_timeout_s=9.6,
)
HINTS = Traffic(
    name="hint",
    per_s=111,
    tier=1,
    target_s=0.5,
    max_pause_s=0.5,
    deadline_s=3.0,
    root_tokens=341,
    shared_tokens=227,
    unique_tokens=1800,
    answer_tokens=23,
    subjects=1448,
    retries=1,
    bursts=((7.8, 11.7, 1.4),),
    length_log_sigma=0.9,
    client_timeout_s=4.0,
)
# The most urgent route: short prompts and long, pause-sensitive answers.
STREAMS = Traffic(
    name="stream",
    per_s=55,
    tier=0,
    target_s=0.3,
    max_pause_s=0.3,
    deadline_s=12.0,
    root_tokens=103,
    shared_tokens=69,
    unique_tokens=543,
    answer_tokens=280,
    subjects=479,
    retries=1,
    bursts=((11.0, 16.0, 2.3), (11.2, 19.3, 2.2)),
    length_log_sigma=0.6,
    client_timeout_s=2.4,
)
# Value of an answer to its caller, by route, and the share of it if it is late.
WORTH = {"review": 1.6, "hint": 1.3, "stream": 5.3}
LATE_SHARE = {"review": 0.1, "hint": 0.1, "stream": 0.03}


@dataclass(frozen=True, slots=True)
class CompetingLoad:
    """Engines of a pool, and the request rate relative to that load."""

    speed: EngineSpeed
    relative_speeds: tuple[float, ...] = (1.0,)
    disturbance: Disturbance | None = None
    times: float = 1.0


ALIKE = CompetingLoad(ALIKE_SPEED)
UNEQUAL = CompetingLoad(UNEQUAL_SPEED, (0.6, 1.0, 1.6), Disturbance(0.15, 2.5, 0.6))


def simulate_competing(
    load: CompetingLoad,
    staleness_s: float,
    seed: int = 1,
    seconds: float = SECONDS,
    engines: int = ENGINES,
    instances: int = INSTANCES,
) -> PoolSimulation:
    """Run a load and return the finished simulation."""
    share = engines / ENGINES
    simulation = PoolSimulation(
        load.speed,
        [each.scaled(load.times * share, share) for each in (REVIEWS, HINTS, STREAMS)],
        engines,
        instances,
        seed,
        staleness_s,
        (EngineFault(9.5, round(engines / 4), 2.0),),
        load.relative_speeds,
        load.disturbance,
    )
    simulation.run(seconds)
    return simulation


def credit_of(request: SimRequest) -> float:
    """Return the value of an outcome as a share of a timely answer's."""
    late = LATE_SHARE[request.traffic.name]
    credit = request.credit_from_first
    return late if 0 < credit < 1 else credit


def credit(
    simulation: PoolSimulation, since_s: float = 0.0, until_s: float = SECONDS
) -> float:
    """Return the credit of the callers of some seconds, weighted by worth, 0 to 1."""
    earned = possible = 0.0
    for request in simulation.requests:
        if since_s <= request.first_asked_at < until_s:
            worth = WORTH[request.traffic.name]
            possible += worth
            earned += worth * credit_of(request)
    return earned / possible


def describe(simulation: PoolSimulation) -> str:
    """Return one line of figures, with the credit by periods of four seconds."""
    routes = describe_routes(simulation, list(WORTH), credit_of)
    periods = [
        f"{credit(simulation, since, since + 4):.2f}"
        for since in range(0, int(SECONDS), 4)
    ]
    figures = [f"credit={credit(simulation):.3f}", f"periods={','.join(periods)}"]
    return " ".join([*figures, *routes])


def main() -> int:
    """Print one line for each kind of pool, age of reports and seed."""
    options = make_parser(__doc__, ENGINES, INSTANCES, [0.3]).parse_args()
    sizes = (options.engines, options.instances)
    for name, load in (("alike", ALIKE), ("unequal", UNEQUAL)):
        print(f"pool={name}")

        def simulate(
            staleness_s: float, seed: int, load: CompetingLoad = load
        ) -> PoolSimulation:
            return simulate_competing(load, staleness_s, seed, SECONDS, *sizes)

        print_results(options, simulate, describe)
    return 0


if __name__ == "__main__":
    sys.exit(main())
