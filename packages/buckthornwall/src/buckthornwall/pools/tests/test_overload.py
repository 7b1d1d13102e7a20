"""Tests of which requests are refused for overload."""

import pytest

from buckthornwall.pools import find_overload
from buckthornwall.pools.decision import choose_upstream

from .helpers import POOL, ZONE, prompt, traits


@pytest.fixture
def busy(table):
    """Return a pool whose slots are in use, so that requests may be refused."""
    for view in table.members(POOL):
        view.load.requests = view.entry.slots
    return table


def learn_pace(table, rank, factor):
    for _ in range(300):
        table.pace(POOL).note(rank, 1.0, factor)


def decide(table, clock, wanted):
    choice = choose_upstream(table, wanted, set(), ZONE, clock.now())
    return choice, find_overload(table, wanted, choice, clock.now())


def test_a_long_prompt_is_not_refused_where_nothing_is_before_it(busy, clock):
    """A reply was refused that had 0.42 s of its own to read, and little before it.

    An expected wait is multiplied by how much longer waits lately took; the prompt's
    own reading was taken off without that, so that the rest looked like a wait for
    others: counted_ms=710 own_ms=422 oldest_ms=0 target_ms=644, and least_ms=710.
    """
    wanted = traits(prompt(shared_tokens=5000, own_tokens=16_000), target_s=0.6)
    learn_pace(busy, wanted.resolution.rank, 1.8)
    _, overload = decide(busy, clock, wanted)
    assert overload is None
