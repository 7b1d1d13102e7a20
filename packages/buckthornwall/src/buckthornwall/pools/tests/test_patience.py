"""Tests of who is taken to have been refused before, and what follows from it.

At the worst load of a large fleet a tenth of the drafts were refused, returned once
within their patience, and were refused again: 648 of 7,922 on one day.
"""

from dataclasses import replace

import pytest

from buckthornwall.pools import RequestTraits, refused_for_s
from buckthornwall.pools.overload import MOST_TARGETS, MOST_TARGETS_OF_RETURNS
from buckthornwall.pools.patience import RETURNED_SHARE, Patience
from buckthornwall.routing import EngineTraits, Pool, Resolution
from buckthornwall.routing.table import DEFAULT_TEAM_TIER
from buckthornwall.utils import TeamId

from .helpers import POOL, choose, prompt
from .test_quiet import tight_route


def test_who_brings_the_rest_of_the_usual_patience_has_returned():
    patience = Patience()
    seen = [patience.is_return(given) for given in (6.0, 5.3, 5.9, 3.9, 6.0, 4.2)]
    assert seen == [False, False, False, True, False, True]


def test_one_caller_that_waits_for_long_makes_nobody_look_refused():
    patience = Patience()
    for _ in range(20):
        patience.is_return(6.0)
    patience.is_return(600.0)
    assert not patience.is_return(5.5)


def test_who_tells_no_patience_has_not_returned():
    assert not Patience().is_return(None)


def test_a_caller_that_returned_first_is_found_out_by_those_after_it():
    patience = Patience()
    patience.is_return(3.0)
    for _ in range(60):
        patience.is_return(6.0)
    assert patience.is_return(0.9 * RETURNED_SHARE * 6.0)


@pytest.fixture
def traits():
    route = replace(tight_route(0.5), tier=2)
    pool = Pool(POOL, "/", 10, EngineTraits(4, 300_000, 4))
    resolution = Resolution(route, pool, TeamId("t"), DEFAULT_TEAM_TIER, 1)
    return RequestTraits("r", prompt(), resolution, False)


@pytest.mark.parametrize(
    ("targets", "first", "returned"),
    [
        (0.9 * MOST_TARGETS, False, False),
        (1.5 * MOST_TARGETS, True, False),
        (1.1 * MOST_TARGETS_OF_RETURNS, True, True),
    ],
)
def test_who_returns_is_refused_again_only_where_it_is_hopeless(
    table, clock, traits, targets, first, returned
):
    choice = choose(table, clock, prompt())
    for view in table.members(POOL):
        view.load.requests = view.entry.slots
    target_s = traits.resolution.route.target_s
    choice = replace(choice, own_s=0.0, wait_s=0.0, oldest_s=targets * target_s)
    now = clock.now()
    assert (refused_for_s(table, traits, choice, now) is not None) is first
    traits = replace(traits, returns=True)
    assert (refused_for_s(table, traits, choice, now) is not None) is returned
