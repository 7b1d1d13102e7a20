"""Tests of which requests are refused for overload."""

import pytest

from buckthornwall.pools import RefusalReason, choose_upstream, find_overload
from buckthornwall.pools.load import PeerLoad

from .helpers import POOL, ZONE, adopt, prompt, traits


@pytest.fixture
def busy(table):
    """Return a pool whose slots are in use, so that requests may be refused."""
    for view in table.members(POOL):
        view.load.requests = view.entry.slots
    return table


def learn_pace(table, rank, factor):
    for _ in range(300):
        table.wait_calibration(POOL).record(rank, 1.0, factor)


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


def fill(table, rank, tokens, names=("a", "b", "c")):
    for name in names:
        table.views[name].load.add_pending_prefill(rank, tokens)


def let_in(table, clock, rank, tokens=20_000):
    table.ledger(POOL).record_admitted(rank, tokens, clock.now())


def test_a_late_request_goes_where_it_begins_in_time(busy, clock):
    """Replies were refused at their prompt's homes while other engines had room.

    Only homes and a few drawn engines were compared: counted_ms=737 least_ms=361
    target_ms=644, and so 28 of 68 refused replies of a busy day.
    """
    for name in "defghijkl":
        adopt(busy, name)
    let_in(busy, clock, 7)
    for view in busy.members(POOL):
        view.load.requests = 3
    wanted = traits(prompt())
    full = set()
    while len(full) < 11:
        choice, overload = decide(busy, clock, wanted)
        assert choice.view.id not in full
        assert overload is None
        full.add(choice.view.id)
        fill(busy, 0, 60_000, (choice.view.id,))


def test_what_is_least_urgent_is_not_spread_when_it_is_late(busy, clock):
    """Read anew wherever there is room, it leaves none for anybody."""
    wanted = traits(prompt(shared_tokens=13_000), tier=2)
    home = decide(busy, clock, wanted)[0].view
    home.prefixes.record(wanted.prompt)
    let_in(busy, clock, 7)
    fill(busy, 0, 20_000, (home.id,))
    assert decide(busy, clock, wanted)[0].view is home


def test_a_request_is_not_refused_while_less_urgent_ones_are_let_in(table, clock):
    """18 of 167 replies got nothing in 5 s, in which 615 reviews began.

    Each was judged by its own target alone: a reply was refused from expected_ms=520
    on (target_ms=644), a review, which engines read after it, from 1251 (1563).
    """
    for view in table.members(POOL):
        view.load.requests = 3
    fill(table, 4, 30_000)
    wanted = traits(prompt())
    assert decide(table, clock, wanted)[1].reason is RefusalReason.LATE
    let_in(table, clock, 7)
    assert decide(table, clock, wanted)[1] is None
    table.ledger(POOL).record_refused(4, 20_000, clock.now())
    assert decide(table, clock, wanted)[1] is not None


def test_a_request_is_owed_for_what_other_instances_let_in(table, clock):
    """22 replies were refused where no review, or one, had been let in at the instance.

    Of 24 instances each had one request of the pool in a second; the others let reviews
    in: expected_ms=619 least_ms=243, no review let in and no reply refused here in ten
    seconds. 11 of 86 replies got nothing while reviews of 236,024 tokens began.
    """
    table.instances = 24.0
    for view in table.members(POOL):
        view.load.requests = 2
    fill(table, 4, 30_000)
    wanted = traits(prompt())
    assert decide(table, clock, wanted)[1].reason is RefusalReason.LATE
    for view in table.members(POOL):
        view.load.peers = PeerLoad(requests=1, pending_prefill={7: 20_000})
    assert decide(table, clock, wanted)[1] is None
    table.ledger(POOL).record_refused(4, 5_000, clock.now())
    assert decide(table, clock, wanted)[1].reason is RefusalReason.LATE


def test_a_request_is_refused_where_it_would_come_far_too_late(table, clock):
    """Whoever waits for several targets is better told when to come back."""
    for view in table.members(POOL):
        view.load.requests = 3
    let_in(table, clock, 7, 900_000)
    fill(table, 4, 60_000)
    assert decide(table, clock, traits(prompt()))[1] is not None


def test_full_engines_are_left_to_the_most_urgent(busy, clock):
    """Taken there, late requests fill the queue, and streams of tier 0 are rejected."""
    let_in(busy, clock, 7, 900_000)
    fill(busy, 4, 30_000)
    assert decide(busy, clock, traits(prompt()))[1] is not None


def test_less_urgent_requests_yield_to_those_that_were_refused(table, clock):
    """Refused replies came back to engines that reviews had been sent to meanwhile."""
    wanted = traits(prompt(), tier=2, target_s=1.5)
    table.ledger(POOL).record_refused(4, 4_000, clock.now())
    assert decide(table, clock, wanted)[1] is None  # nothing waits any more
    for view in table.members(POOL):
        view.load.requests = 3
    assert decide(table, clock, wanted)[1].reason is RefusalReason.YIELDS
    clock.time += 20.0
    assert decide(table, clock, wanted)[1] is None


def test_who_yields_is_let_in_as_much_as_was_refused(table, clock):
    """No rank starves while a more urgent one asks for far more than there is."""
    for view in table.members(POOL):
        view.load.requests = 3
    wanted = traits(prompt(), tier=2, target_s=1.5)
    table.ledger(POOL).record_refused(4, 40_000, clock.now())
    assert decide(table, clock, wanted)[1] is None
    let_in(table, clock, 7, 40_000)
    assert decide(table, clock, wanted)[1] is not None
