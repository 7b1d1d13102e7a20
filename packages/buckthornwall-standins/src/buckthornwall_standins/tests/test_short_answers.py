"""The worst load of a fleet whose engines mostly read, replayed against the decisions.

Drafts came 2.6 times as often from the first second on, when no engine held their
parts; an eighth and a quarter of the engines crashed; then lists, drafts and questions
came two to three times as often. Here with 29 instances before 24 engines, that know
of each other 0.3 s late.
"""

import pytest
from loguru import logger

from buckthornwall_standins.pool_sim import PoolSimulation
from buckthornwall_standins.pool_sim.short_answers import (
    largest_served_ratio,
    simulate_short_answers,
)

WORD_AGE_S = 0.3


@pytest.fixture(scope="module")
def play() -> PoolSimulation:
    logger.disable("buckthornwall")
    try:
        return simulate_short_answers(WORD_AGE_S, engines=24, instances=29)
    finally:
        logger.enable("buckthornwall")


def test_more_urgent_routes_are_served_in_time(play):
    assert play.credit("question") > 0.9
    assert play.credit("list") > 0.8


def test_the_longest_prompts_are_served_like_the_others(play):
    """Sent with the lowest priority, fewer of them were served."""
    assert largest_served_ratio(play, "draft") > 0.85


def test_no_most_urgent_request_is_refused(play):
    assert not any(each.refused for each in play.requests_of("list"))
