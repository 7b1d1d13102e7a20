"""All instances start at once, and the callers that waited for them come together."""

from dataclasses import replace

import pytest

from buckthornwall_standins.pool_sim.competing import (
    ALIKE_SPEED,
    HINTS,
    REVIEWS,
    STREAMS,
)
from buckthornwall_standins.pool_sim.simulation import PoolSimulation

ENGINES, INSTANCES = 45, 86
REPORTS_AGE_S = 0.2
# Callers of a second come within a third of one.
CROWD = ((0.0, 0.3, 4.0),)
SECONDS = 2.5
# The most urgent callers are few, and their engines are idle: hardly any may be late.
MIN_STREAMS_IN_TIME = 0.9


def simulate_start(seed, is_assumed=True):
    """Run the first seconds of instances that know nothing of each other."""
    traffic = [replace(each, bursts=CROWD) for each in (REVIEWS, HINTS, STREAMS)]
    simulation = PoolSimulation(
        ALIKE_SPEED, traffic, ENGINES, INSTANCES, seed, REPORTS_AGE_S
    )
    for instance in simulation.instances:
        instance.pools.settings.start_demand = is_assumed
        instance.pools.assume_start_demand(INSTANCES)
    simulation.run(SECONDS)
    return simulation


@pytest.mark.parametrize("seed", [1, 2])
def test_first_streams_of_all_instances_do_not_queue_at_one_engine(seed):
    """Of 85 that came in the first second, 74 were sent to the same engine."""
    simulation = simulate_start(seed)
    assert simulation.share_in_time("stream") >= MIN_STREAMS_IN_TIME


def test_engines_reserved_at_the_start_cost_others_nothing():
    with_it, without = simulate_start(1), simulate_start(1, is_assumed=False)
    for name in ("hint", "review"):
        assert with_it.share_in_time(name) >= without.share_in_time(name) - 0.02
