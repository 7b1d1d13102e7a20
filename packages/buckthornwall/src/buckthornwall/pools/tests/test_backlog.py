"""Tests of refusals for the prefill that is pending in a whole pool."""

import pytest

from buckthornwall.pools import (
    PoolSettings,
    PoolTable,
    RefusalReason,
    choose_upstream,
    find_overload,
)
from buckthornwall.pools.backlog import Backlog
from buckthornwall.pools.load import PeerLoad

from .helpers import POOL, ZONE, adopt, prompt, traits

ENGINES = "abcdefghi"
IDS = [f"r{number}" for number in range(400)]


@pytest.fixture
def pool(clock):
    """Return a pool of nine engines with many slots, hardly any in use."""
    return make_pool(clock)


def make_pool(clock, **settings):
    table = PoolTable(clock, settings=PoolSettings(**settings))
    for name in ENGINES:
        adopt(table, name, slots=64)
    return table


def fill(table, seconds, names=ENGINES, rank=7):
    """Let peers have work pending at engines that takes some seconds to prefill."""
    tokens = int(seconds * table.model(POOL).tokens_per_s)
    for name in names:
        table.views[name].load.peers = PeerLoad(3, {rank: tokens})


def review(request_id="r", tier=2, target_s=1.5, **more):
    made = traits(prompt(), tier=tier, target_s=target_s, **more)
    return type(made)(request_id, made.prompt, made.resolution, False)


def refusal(table, clock, request, time_left_s=4.0):
    choice = choose_upstream(table, request, set(), ZONE, clock.now())
    return find_overload(table, request, choice, clock.now(), time_left_s)


def refused_share(table, clock, **more):
    refusals = [refusal(table, clock, review(name, **more)) for name in IDS]
    return sum(each is not None for each in refusals) / len(refusals)


def test_reviews_are_refused_while_slots_are_free_and_prefill_is_not(pool, clock):
    """A pool counted as loaded with half of its slots in use, which never happened.

    15% of the reviews were held until their callers left, and none was refused.
    """
    fill(pool, 1.0)
    assert refused_share(pool, clock) >= 0.85
    assert refusal(make_full(clock, prefill_admission=False), clock, review()) is None


def make_full(clock, **settings):
    table = make_pool(clock, **settings)
    fill(table, 1.0)
    return table


def test_engine_that_looks_empty_in_a_full_pool_gets_a_share_only(pool, clock):
    """86 instances saw the same engine empty 0.3 s ago, and all sent there."""
    fill(pool, 0.4)
    pool.views["a"].load.peers = PeerLoad()
    assert 0.2 < refused_share(pool, clock) < 1.0


def test_nobody_is_refused_while_most_engines_have_room(pool, clock):
    """One statement that is wrong, or a few full engines, refuse nobody elsewhere."""
    fill(pool, 1e9, "abcd")
    assert refused_share(pool, clock) == 0.0


def test_a_short_wait_refuses_nobody(pool, clock):
    fill(pool, 0.1)
    assert refused_share(pool, clock) == 0.0


def test_most_urgent_are_never_refused(pool, clock):
    fill(pool, 1e6, rank=1)
    assert refused_share(pool, clock, tier=0) == 0.0
    assert refused_share(pool, clock, tier=0, target_s=0.3) == 0.0


def test_work_of_lower_ranks_refuses_nobody_above(pool, clock):
    """It is prefilled after the more urgent request, so that this does not wait."""
    fill(pool, 1e6, rank=7)
    assert refused_share(pool, clock, tier=1, target_s=0.5) == 0.0


def test_late_rank_with_a_deficit_is_not_of_the_share(pool, clock):
    """Less urgent requests that were admitted instead are refused first."""
    fill(pool, 0.3, rank=4)
    assert refused_share(pool, clock, tier=1, target_s=1.5) > 0.2
    pool.ledger(POOL).record_admitted(7, 900_000)
    assert refused_share(pool, clock, tier=1, target_s=1.5) == 0.0


def test_a_tenth_is_always_left_to_the_decision_by_engine(pool):
    """Nobody starves for the backlog alone."""
    assert Backlog(1e9, 1.0).shed_share == pytest.approx(0.9)
    assert Backlog(0.2, 1.0).shed_share == 0.0
    assert Backlog(0.35, 1.0).shed_share == pytest.approx(0.5)


def test_request_that_cannot_begin_before_its_deadline_is_refused_at_once(pool, clock):
    """It was sent, and cut by its own deadline with its engine at work on it."""
    fill(pool, 1.2, rank=4)
    pool.ledger(POOL).record_admitted(7, 900_000)  # a deficit: otherwise admitted
    request = review(tier=1)
    assert refusal(pool, clock, request, time_left_s=2.0) is None
    refused = refusal(pool, clock, request, time_left_s=1.0)
    assert refused.reason is RefusalReason.DEADLINE
    assert refused.time_left_s == 1.0


def test_new_instances_that_know_nothing_refuse_nobody(pool, clock):
    """After a restart of all no load is known, and requests must find engines."""
    assert refused_share(pool, clock) == 0.0


def test_crashed_engine_is_forgotten_with_its_work(pool, clock):
    fill(pool, 1.0)
    for name in ENGINES:
        pool.remove(name)
        adopt(pool, name, slots=64)
    assert refused_share(pool, clock) == 0.0


def test_few_instances_decide_by_the_engine_that_was_chosen(pool, clock):
    """Their queues are even, and reviews behind them in time, though prompts are long.

    Seven instances refused a quarter of the reviews of a load that they had served.
    """
    fill(pool, 0.5)
    pool.views["a"].load.requests = 4
    assert refused_share(pool, clock) == 0.0


def test_clock_that_steps_back_refuses_nobody_else(pool, clock):
    fill(pool, 0.1)
    clock.time -= 50.0
    assert refused_share(pool, clock) == 0.0
