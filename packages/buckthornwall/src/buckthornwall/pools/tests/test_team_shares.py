"""Tests of the fair shares of teams in a rank's demand."""

import pytest

from buckthornwall.pools import TeamShares
from buckthornwall.pools.team_shares import (
    MAX_REFUSED_SHARE,
    MAX_SLICE_ENTRIES,
    MAX_TEAMS,
    OTHER_TEAMS,
    WINDOW_S,
    fair_level,
    top_teams,
)

from .helpers import POOL

RANK = 7
NOW = 100.0


@pytest.fixture
def shares():
    return TeamShares(POOL)


def ask(shares, team, tokens, now=NOW):
    shares.record_demand(RANK, team, tokens, now)


def refused_share(shares, team, headroom, now=NOW, tokens=0):
    return shares.standing(RANK, team, tokens, headroom, now).refused_share


@pytest.mark.parametrize(
    ("demands", "capacity", "level"),
    [
        ([10, 20, 30], 60, 30),
        ([10, 20, 30], 50, 20),
        ([10, 90], 60, 50),
        ([10, 10, 10], 15, 10),
        ([], 5, 0),
    ],
)
def test_level_gives_what_small_demands_leave_to_the_large(demands, capacity, level):
    assert fair_level(demands, capacity) == level


def test_no_team_gets_more_by_asking_for_more_than_its_share():
    """The others get the same whether a team asks for four or forty times its share."""
    levels = {fair_level([10, 10, 10, asked], 40) for asked in (40, 400)}
    assert levels == {10}


def test_team_beyond_its_share_by_half_loses_a_third(shares):
    ask(shares, "large", 150)
    for number in range(10):
        ask(shares, f"small{number}", 85)
    assert refused_share(shares, "large", 0.95) == pytest.approx(1 / 3)
    assert not refused_share(shares, "small1", 0.95)


def test_nobody_is_refused_while_there_is_room_for_all(shares):
    ask(shares, "large", 10_000)
    ask(shares, "small", 10)
    assert not refused_share(shares, "large", 1.0)


def test_refusal_does_not_make_a_team_look_small(shares):
    """Demand is recorded before the decision; repeats at once only raise it."""
    for _ in range(4):
        ask(shares, "small", 100)
        ask(shares, "repeats", 100)
    before = refused_share(shares, "repeats", 0.6)
    for _ in range(12):
        ask(shares, "repeats", 100)
    assert refused_share(shares, "repeats", 0.6) > before
    assert not refused_share(shares, "small", 0.6)


@pytest.mark.parametrize("teams", [1, 5])
def test_teams_that_ask_for_the_same_are_not_refused_for_shares(shares, teams):
    """No other gains by it: who is late is decided as if there were no teams."""
    for number in range(teams):
        ask(shares, f"t{number}", 1000)
    assert not refused_share(shares, "t0", 0.2)


def test_large_steady_team_gets_all_that_small_ones_leave(shares):
    ask(shares, "large", 700)
    for number in range(3):
        ask(shares, f"small{number}", 100)
    assert shares.standing(RANK, "large", 0, 0.8, NOW).share == 500


def test_team_is_never_refused_altogether(shares):
    ask(shares, "flood", 10**9)
    ask(shares, "small", 1)
    assert refused_share(shares, "flood", 0.0) <= MAX_REFUSED_SHARE < 1


def test_few_requests_are_not_taken_for_a_large_demand(shares):
    """One instance just after a start: three requests, two of them of one team."""
    ask(shares, "twice", 3000)
    ask(shares, "twice", 3000)
    ask(shares, "once", 3000)
    assert not refused_share(shares, "twice", 0.5, tokens=3000)


def test_instance_that_sees_one_team_only_goes_by_the_sums(shares):
    """86 instances see a few requests each; the demand is known from the sums."""
    ask(shares, "large", 10)
    shares.receive({RANK: {"large": 8000, "a": 1000, "b": 1000}}, NOW)
    assert refused_share(shares, "large", 0.5) > 0.5
    assert not refused_share(shares, "a", 0.5)


def test_new_instance_knows_the_shares_by_the_first_report(shares):
    """All instances are new at once; until reports come nobody is refused for shares.

    With them the decision is that of an instance that saw it all.
    """
    assert not refused_share(shares, "large", 0.1)
    shares.receive({RANK: {"large": 800, "a": 100, "b": 100}}, NOW)
    informed = TeamShares(POOL)
    for team, tokens in (("large", 800), ("a", 100), ("b", 100)):
        ask(informed, team, tokens)
    assert refused_share(shares, "large", 0.5) == refused_share(informed, "large", 0.5)


def test_sums_of_peers_out_of_touch_fade(shares):
    """A partition: the last sums stay as they were, however old they are."""
    sums = {RANK: {"large": 8000, "a": 1000}}
    shares.receive(sums, NOW)
    later = NOW + WINDOW_S / 2
    shares.receive(dict(sums), later)
    assert shares.demand(RANK, later) == {"large": 4000, "a": 500}
    assert not shares.demand(RANK, NOW + WINDOW_S)


def test_new_sums_are_adopted_after_a_partition(shares):
    shares.receive({RANK: {"large": 8000}}, NOW)
    shares.receive({RANK: {"large": 300}}, NOW + 60)
    assert shares.demand(RANK, NOW + 60) == {"large": 300}


def test_demand_is_forgotten_after_the_window(shares):
    ask(shares, "surged", 8000)
    ask(shares, "surged", 100, NOW + WINDOW_S + 1)
    assert shares.demand(RANK, NOW + WINDOW_S + 1) == {"surged": 100}


@pytest.mark.parametrize("step_s", [-3600.0, 3600.0])
def test_clock_that_jumps_leaves_no_demand_behind(shares, step_s):
    ask(shares, "t", 8000)
    shares.report_rank(RANK, NOW)
    ask(shares, "t", 100, NOW + step_s)
    assert shares.demand(RANK, NOW + step_s) == {"t": 100}
    assert not shares.local_tokens(NOW + step_s)


def test_sums_from_before_a_clock_stepped_back_count_in_full_at_most(shares):
    shares.receive({RANK: {"t": 100}}, NOW)
    assert shares.demand(RANK, NOW - 3600) == {"t": 100}


def test_ranks_are_apart(shares):
    ask(shares, "large", 800)
    shares.record_demand(RANK - 3, "large", 5, NOW)
    assert shares.demand(RANK - 3, NOW) == {"large": 5}


def test_demand_is_reported_only_after_a_queue_was_seen(shares):
    ask(shares, "t", 10)
    assert not shares.local_tokens(NOW)
    shares.report_rank(RANK, NOW)
    assert shares.local_tokens(NOW) == {RANK: {"t": 10}}
    ask(shares, "t", 10, NOW + WINDOW_S + 0.5)
    assert not shares.local_tokens(NOW + WINDOW_S + 0.5)


def test_reports_of_hundreds_of_teams_are_bounded(shares):
    for number in range(590):
        ask(shares, f"t{number}", 10)
    ask(shares, "large", 50_000)
    shares.report_rank(RANK, NOW)
    reported = shares.local_tokens(NOW)[RANK]
    assert len(reported) == MAX_TEAMS
    assert reported["large"] == 50_000
    assert sum(reported.values()) == 55_900


def test_teams_that_are_not_named_count_as_served_in_full():
    demand = {f"t{number}": 100 for number in range(100)} | {"large": 10_000}
    shares = TeamShares(POOL)
    shares.receive({RANK: top_teams(demand)}, NOW)
    assert shares.standing(RANK, "large", 0, 0.75, NOW).share == 5000
    assert not refused_share(shares, "t99", 0.75)
    assert OTHER_TEAMS not in top_teams({"a": 1})


def test_sums_that_are_summed_again_keep_the_large_teams():
    demand = {f"t{number}": 1 for number in range(50)} | {"large": 1000}
    once = top_teams(demand)
    twice = top_teams(once | {f"u{number}": 1 for number in range(50)})
    assert twice["large"] == 1000
    assert sum(twice.values()) == 1100
    assert len(twice) == MAX_TEAMS


def test_memory_is_bounded_by_time_and_teams(shares):
    for step in range(50):
        for number in range(2500):
            ask(shares, f"t{number}", 1, NOW + step * 0.1)
    kept = sum(len(counts) for _, counts in shares._slices)
    assert kept <= 6 * (MAX_SLICE_ENTRIES + 1)


@pytest.mark.parametrize("nonsense", [-(10**9), 10**15])
def test_nonsense_of_a_peer_refuses_no_other_team(shares, nonsense):
    ask(shares, "a", 100)
    ask(shares, "b", 120)
    shares.receive({RANK: {"liar": nonsense}}, NOW)
    assert not refused_share(shares, "a", 0.9)
    assert refused_share(shares, "b", 0.9) < 0.2
