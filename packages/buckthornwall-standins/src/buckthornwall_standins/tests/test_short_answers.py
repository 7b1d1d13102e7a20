"""The worst load of a fleet whose engines mostly prefill, simulated at a smaller size.

Drafts come 2.6 times as often from the first second on, when no engine has cached their
segments; an eighth and a quarter of the engines crash; then lists, drafts and questions
come two to three times as often. Here with 29 instances, whose reports arrive 0.3 s
late, and 24 engines.
"""

import pytest
from loguru import logger

from buckthornwall_standins.pool_sim import PoolSimulation
from buckthornwall_standins.pool_sim.short_answers import (
    largest_served_ratio,
    simulate_short_answers,
)

STALENESS_S = 0.3


@pytest.fixture(scope="module")
def simulation() -> PoolSimulation:
    logger.disable("buckthornwall")
    try:
        return simulate_short_answers(STALENESS_S, engines=24, instances=29)
    finally:
        logger.enable("buckthornwall")


def test_urgent_routes_are_served_in_time(simulation):
    assert simulation.credit("question") > 0.9
    assert simulation.credit("list") > 0.8


def test_longest_prompts_are_served_as_often_as_others(simulation):
    """Sent with the lowest priority, they were served less often."""
    assert largest_served_ratio(simulation, "draft") > 0.85


def test_most_urgent_requests_are_not_refused(simulation):
    assert not any(each.refused for each in simulation.requests_of("list"))
