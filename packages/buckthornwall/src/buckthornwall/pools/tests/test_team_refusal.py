"""Tests of refusals for the fair shares of teams."""

from dataclasses import replace

import pytest

from buckthornwall.pools import (
    PoolReports,
    PoolSettings,
    PoolTable,
    RefusalReason,
    choose_upstream,
    find_overload,
    record_decision,
)
from buckthornwall.pools.load import PeerLoad
from buckthornwall.utils import TeamId

from .helpers import POOL, ZONE, adopt, prompt, traits

REQUESTS = 200
# So few that a small team stays small.
FEW = 10
REVIEW_TIER = 2
# Mean waits, in targets of a review: none, room for a part, and hardly any.
NO_QUEUE, SHORT, FULL = 0.0, 0.6, 0.79


def review(team, number=0, tokens=1000, tier=REVIEW_TIER, team_tier=1):
    request = traits(
        prompt(own=f"o{number}", own_tokens=tokens), tier, 1.5, team_tier=team_tier
    )
    resolution = replace(request.resolution, team=TeamId(team))
    return replace(request, id=f"r{number}", resolution=resolution)


def fill(table, targets, rank):
    """Give all engines the pending prefill of a wait, in targets of a review."""
    per_s = 10_000 / table.model(POOL).prefill_s(10_000)
    for view in table.members(POOL):
        view.load.pending_prefill = {rank: int(targets * 1.5 * per_s)}


def decide(table, clock, request):
    choice = choose_upstream(table, request, set(), ZONE, clock.now())
    overload = find_overload(table, request, choice, clock.now())
    record_decision(table, request, overload is None, clock.now(), choice)
    return overload


def surge(table, team="large", tokens=800_000):
    """Let peers report a team that asks for much more than four others."""
    rank = review("t").resolution.rank
    small = {TeamId(f"small{number}"): 50_000 for number in range(4)}
    reported = {POOL: {rank: {TeamId(team): tokens, **small}}}
    table.receive_reports(PoolReports(team_tokens=reported))


def share_refusals(table, clock, team, count=REQUESTS, **options):
    """Return the share of a team's requests that are refused for its share."""
    refusals = [
        decide(table, clock, review(team, number, **options)) for number in range(count)
    ]
    reasons = [refusal.reason for refusal in refusals if refusal is not None]
    return reasons.count(RefusalReason.TEAM_SHARE) / count


@pytest.fixture
def short(table):
    """Return a pool that is short of room, and a team that surges."""
    fill(table, SHORT, review("t").resolution.rank)
    surge(table)
    return table


def test_team_that_surges_took_what_it_took_from_all_of_its_rank(short, clock):
    """Teams played no part: all of a rank were refused alike."""
    assert share_refusals(short, clock, "large") > 0.3
    assert share_refusals(short, clock, "small1", FEW) == 0


def test_nobody_is_refused_for_a_share_while_room_is_not_short(table, clock):
    surge(table)
    fill(table, NO_QUEUE, review("t").resolution.rank)
    assert share_refusals(table, clock, "large") == 0


def test_one_engine_with_a_queue_is_no_shortage(table, clock):
    surge(table)
    fill(table, NO_QUEUE, 0)
    table.views["a"].load.pending_prefill = {0: 60_000}
    assert share_refusals(table, clock, "large") == 0


def test_fuller_pools_refuse_more_and_never_all(table, clock):
    refused = []
    for targets in (0.45, SHORT, FULL):
        surge(table)
        fill(table, targets, review("t").resolution.rank)
        refused.append(share_refusals(table, clock, "large"))
    assert refused == sorted(refused)
    assert 0 < refused[0] < refused[-1] < 1


def test_largest_requests_of_a_team_are_refused_as_often_as_small_ones(short, clock):
    small = share_refusals(short, clock, "large", tokens=200)
    surge(short)
    large = share_refusals(short, clock, "large", tokens=12_000)
    assert abs(large - small) < 0.15


def test_request_repeated_at_once_gets_the_same_decision(short, clock):
    """Repeats draw no second time, and each raises its team's demand."""
    refused = next(
        number
        for number in range(REQUESTS)
        if decide(short, clock, review("large", number))
    )
    assert all(decide(short, clock, review("large", refused)) for _ in range(20))


def test_request_that_was_refused_may_be_admitted_later(short, clock):
    """No session is refused for good: requests draw anew each second."""
    answers = set()
    for _ in range(40):
        surge(short, tokens=800_000 + len(answers))
        answers.add(decide(short, clock, review("large")) is None)
        clock.time += 1.0
    assert answers == {True, False}


def test_less_urgent_requests_yield_before_a_team_is_refused(table, clock):
    """A team of hints is over its share, but reviews are admitted in their place."""
    rank = review("t", tier=1).resolution.rank
    small = {TeamId(f"small{number}"): 50_000 for number in range(4)}
    reported = {POOL: {rank: {TeamId("large"): 800_000, **small}}}
    table.receive_reports(PoolReports(team_tokens=reported))
    fill(table, SHORT, rank)
    table.receive_rank_tokens({POOL: {rank + 3: (10_000_000, 0)}})
    assert share_refusals(table, clock, "large", tier=1) == 0
    table.receive_rank_tokens({POOL: {rank + 3: (0, 0)}})
    assert share_refusals(table, clock, "large", tier=1) > 0.3


@pytest.mark.parametrize("options", [{"tier": 0}, {"team_tier": 0}])
def test_urgent_requests_are_not_refused_for_shares(table, clock, options):
    rank = review("t", **options).resolution.rank
    reported = {POOL: {rank: {TeamId("large"): 800_000, TeamId("small"): 1000}}}
    table.receive_reports(PoolReports(team_tokens=reported))
    fill(table, 3.0, rank)
    assert share_refusals(table, clock, "large", **options) == 0


def test_refusal_states_share_demand_and_their_age(short, clock):
    clock.time += 0.3
    overloads = [decide(short, clock, review("large", n)) for n in range(REQUESTS)]
    team = next(each.team for each in overloads if each is not None)
    assert 0 < team.share < team.demand
    assert team.age_s == pytest.approx(0.3)


def test_refused_requests_are_reported_as_demand(short, clock):
    refused = share_refusals(short, clock, "large")
    assert refused
    rank = review("t").resolution.rank
    tokens = short.reports().team_tokens[POOL][rank]["large"]
    assert tokens >= 1000 * REQUESTS


def test_nothing_is_decided_or_reported_if_switched_off(clock):
    table = PoolTable(clock, settings=PoolSettings(team_shares=False))
    for name in ("a", "b", "c"):
        adopt(table, name)
    fill(table, SHORT, review("t").resolution.rank)
    surge(table)
    assert share_refusals(table, clock, "large") == 0
    assert not table.reports().team_tokens


def test_all_instances_new_at_once_refuse_nobody_before_they_know(table, clock):
    """After a restart of all, engines are full and no demand is known."""
    fill(table, FULL, review("t").resolution.rank)
    assert share_refusals(table, clock, "large") == 0


def test_peers_of_an_older_build_report_no_demand(short, clock):
    """Their part is missing from the sums; own demand alone decides then."""
    short.receive_reports(PoolReports())
    assert share_refusals(short, clock, "large") == 0


def test_restarted_engine_does_not_end_the_shortage(short, clock):
    """One of three crashes and returns empty under its id."""
    rank = review("t").resolution.rank
    short.remove("a")
    assert share_refusals(short, clock, "large") > 0.3
    adopt(short, "a")
    surge(short, tokens=900_000)
    assert short.views["a"].load.pending_prefill_before(rank) == 0
    assert share_refusals(short, clock, "small1", FEW) == 0


def test_operators_see_demand_and_share_of_the_largest_teams(short, clock):
    """Nobody could tell which team of a pool asked for how much."""
    decide(short, clock, review("large"))
    rank = review("t").resolution.rank
    teams = short.teams.standings(clock.now())[POOL][rank]
    assert teams["large"].refused_share > 0.3
    assert teams["large"].demand > teams["large"].share
    assert not teams["small1"].refused_share
    clock.time += 2.0
    teams = short.teams.standings(clock.now())[POOL][rank]
    assert not teams["large"].refused_share


def test_backlog_was_shed_from_all_teams_alike(table, clock):
    """What a pool of many instances refuses is taken from the surging team alone."""
    surge(table)
    for view in table.members(POOL):
        view.load.peers = PeerLoad(requests=100)
    fill(table, 0.3, review("t").resolution.rank)
    refused = {
        team: [decide(table, clock, review(team, number)) for number in range(count)]
        for team, count in (("large", REQUESTS), ("small1", FEW))
    }
    reasons = [each.reason for each in refused["large"] if each is not None]
    assert reasons.count(RefusalReason.TEAM_SHARE) > 0.5 * len(reasons) > 0
    assert not any(refused["small1"])
