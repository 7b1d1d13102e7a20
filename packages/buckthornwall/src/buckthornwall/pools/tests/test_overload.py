"""Tests of which requests are refused for overload."""

import pytest

from buckthornwall.pools import RefusalReason, choose_upstream, find_overload
from buckthornwall.pools.ledger import TOKENS_PER_REFUSED

from .helpers import POOL, ZONE, adopt, prompt, traits


@pytest.fixture
def busy(table):
    """Return a pool whose slots are in use, so that requests may be refused."""
    for view in table.members(POOL):
        view.load.requests = view.entry.slots
    return table


def calibrate(table, rank, factor):
    for _ in range(300):
        table.wait_calibration(POOL).record(rank, 1.0, factor)


def decide(table, clock, request):
    choice = choose_upstream(table, request, set(), ZONE, clock.now())
    return choice, find_overload(table, request, choice, clock.now())


def test_long_prompt_is_not_refused_without_a_queue(busy, clock):
    """Its own prefill of 0.42 s, calibrated, must not look like a wait for others.

    The expected wait is multiplied by the calibration factor. If the prefill of the
    prompt is subtracted uncalibrated, the rest looks like queueing: counted_ms=710
    own_ms=422 oldest_ms=0 target_ms=644 least_ms=710.
    """
    request = traits(prompt(shared_tokens=5000, own_tokens=16_000), target_s=0.6)
    calibrate(busy, request.resolution.rank, 1.8)
    _, overload = decide(busy, clock, request)
    assert overload is None


def fill(table, rank, tokens, names=("a", "b", "c")):
    for name in names:
        table.views[name].load.add_pending_prefill(rank, tokens)


def refused_for(tokens):
    """Return the refused tokens for which less urgent ranks get this many."""
    return int(tokens / TOKENS_PER_REFUSED)


def admit(table, clock, rank, tokens=20_000):
    table.ledger(POOL).record_admitted(rank, tokens)


def test_late_request_goes_to_engine_that_is_in_time(busy, clock):
    """Replies were refused at their affinity candidates while other engines had room.

    Only those and a few sampled engines were compared (counted_ms=737 least_ms=361
    target_ms=644), which caused 28 of 68 refused replies of a busy day.
    """
    for name in "defghijkl":
        adopt(busy, name)
    admit(busy, clock, 7)
    for view in busy.members(POOL):
        view.load.requests = 3
    request = traits(prompt())
    filled = set()
    while len(filled) < 11:
        choice, overload = decide(busy, clock, request)
        assert choice.view.id not in filled
        assert overload is None
        filled.add(choice.view.id)
        fill(busy, 0, 60_000, (choice.view.id,))


def test_least_urgent_late_request_is_not_spread(busy, clock):
    """Prefilled again on every engine with room, it would leave none for others."""
    request = traits(prompt(shared_tokens=13_000), tier=2)
    preferred = decide(busy, clock, request)[0].view
    preferred.prefixes.record(request.prompt)
    admit(busy, clock, 7)
    fill(busy, 0, 20_000, (preferred.id,))
    assert decide(busy, clock, request)[0].view is preferred


def test_request_is_not_refused_while_less_urgent_ones_are_admitted(table, clock):
    """18 of 167 replies got no event within 5 s in which 615 reviews began.

    With its own target alone, a reply is refused from expected_ms=520 on
    (target_ms=644), but a less urgent review only from 1251 on (1563).
    """
    for view in table.members(POOL):
        view.load.requests = 3
    fill(table, 4, 30_000)
    request = traits(prompt())
    assert decide(table, clock, request)[1].reason is RefusalReason.LATE
    admit(table, clock, 7)
    assert decide(table, clock, request)[1] is None
    table.ledger(POOL).record_refused(4, refused_for(20_000), clock.now())
    assert decide(table, clock, request)[1] is not None


def test_less_urgent_admissions_of_peers_give_a_deficit(table, clock):
    """22 replies were refused where at most one review had been admitted locally.

    Each of 24 instances had one request of the pool per second; the peers admitted
    reviews. At expected_ms=619 least_ms=243, no review was admitted and no reply
    refused here in ten seconds. 11 of 86 replies got no event while reviews of 236,024
    tokens began.
    """
    for view in table.members(POOL):
        view.load.requests = 2
    fill(table, 4, 30_000)
    request = traits(prompt())
    assert decide(table, clock, request)[1].reason is RefusalReason.LATE
    table.receive_rank_tokens({POOL: {7: (60_000, 0)}})
    assert decide(table, clock, request)[1] is None
    table.receive_rank_tokens({POOL: {7: (60_000, 0), 4: (0, refused_for(60_000))}})
    assert decide(table, clock, request)[1].reason is RefusalReason.LATE
    table.receive_rank_tokens({})
    assert decide(table, clock, request)[1].reason is RefusalReason.LATE


def test_request_yields_to_more_urgent_ones_that_peers_refused(table, clock):
    """The instances that admit less urgent requests have often refused none."""
    for view in table.members(POOL):
        view.load.requests = 3
    request = traits(prompt(), tier=2, target_s=1.5)
    assert decide(table, clock, request)[1] is None
    table.receive_rank_tokens({POOL: {4: (0, 4_000)}})
    assert decide(table, clock, request)[1].reason is RefusalReason.YIELDS
    table.receive_rank_tokens({POOL: {4: (0, refused_for(40_000)), 7: (30_000, 0)}})
    assert decide(table, clock, request)[1] is None
    table.receive_rank_tokens({POOL: {4: (0, refused_for(40_000)), 7: (40_000, 0)}})
    assert decide(table, clock, request)[1].reason is RefusalReason.YIELDS


def test_hopelessly_late_request_is_refused_despite_deficit(table, clock):
    """A client that would wait for several targets is better off with Retry-After."""
    for view in table.members(POOL):
        view.load.requests = 3
    admit(table, clock, 7, 900_000)
    fill(table, 4, 60_000)
    assert decide(table, clock, traits(prompt()))[1] is not None


def test_deficit_does_not_admit_to_full_engines(busy, clock):
    """Late requests would fill their queues, so that streams of tier 0 are rejected."""
    admit(busy, clock, 7, 900_000)
    fill(busy, 4, 30_000)
    assert decide(busy, clock, traits(prompt()))[1] is not None


def test_less_urgent_request_yields_to_refused_ones(table, clock):
    """Retried replies would find engines that reviews were sent to meanwhile."""
    request = traits(prompt(), tier=2, target_s=1.5)
    table.ledger(POOL).record_refused(4, 4_000, clock.now())
    assert decide(table, clock, request)[1] is None  # the pool is not loaded
    for view in table.members(POOL):
        view.load.requests = 3
    assert decide(table, clock, request)[1].reason is RefusalReason.YIELDS
    clock.time += 20.0
    assert decide(table, clock, request)[1] is None


def test_less_urgent_route_of_urgent_team_yields_to_refused_requests(table, clock):
    """A team's priority must not exempt routes that rank behind those of all teams."""
    for view in table.members(POOL):
        view.load.requests = 3
    request = traits(prompt(), tier=2, target_s=1.5, team_tier=0)
    assert decide(table, clock, request)[1] is None
    table.ledger(POOL).record_refused(5, 4_000, clock.now())
    assert decide(table, clock, request)[1].reason is RefusalReason.YIELDS


def test_yielding_rank_is_admitted_up_to_its_share_of_refused_tokens(table, clock):
    """No rank starves while the demand of a more urgent one exceeds the capacity."""
    for view in table.members(POOL):
        view.load.requests = 3
    request = traits(prompt(), tier=2, target_s=1.5)
    table.ledger(POOL).record_refused(4, refused_for(40_000), clock.now())
    assert decide(table, clock, request)[1] is None
    admit(table, clock, 7, 40_000)
    assert decide(table, clock, request)[1] is not None
