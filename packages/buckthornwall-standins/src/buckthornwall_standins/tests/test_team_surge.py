"""Simulated surges of one team: the others are served nearly as without it."""

from dataclasses import replace
from statistics import mean

import pytest

from buckthornwall_standins.pool_sim import PoolSimulation
from buckthornwall_standins.pool_sim.competing import ALIKE, REVIEWS
from buckthornwall_standins.pool_sim.competing import ENGINES as ALL_ENGINES
from buckthornwall_standins.pool_sim.team_surge import (
    SURGE,
    SURGING_TEAM,
    WEIGHTS,
    simulate_surge,
    team_credit,
)

# A load that the engines serve in time, near the most that they can.
LOAD = replace(ALIKE, times=1.3)
# A load at which nobody is refused.
ROOMY = replace(ALIKE, times=0.5)
SEEDS = (1, 2, 3)
ENGINES, INSTANCES = 12, 23
REVIEWS_PER_S = REVIEWS.per_s * LOAD.times * ENGINES / ALL_ENGINES


def simulate(factor):
    return [
        simulate_surge(LOAD, 0.3, seed, factor, True, ENGINES, INSTANCES)
        for seed in SEEDS
    ]


def mean_credit(simulations, is_surging, route="review"):
    return mean(team_credit(each, is_surging, route) for each in simulations)


@pytest.fixture(scope="module")
def surges():
    return simulate(12.0)


def test_surge_of_one_team_made_all_teams_late(surges):
    """A team of 3 parts in 45 sends twelve times its usual for eight seconds.

    Reviews were cut at their deadline of every team, while hardly any was refused.
    The other teams are served in time in four cases of five: nearly as without it.
    """
    assert mean_credit(surges, False) > 0.8
    assert mean_credit(surges, False) > mean_credit(surges, True) + 0.2


def test_team_that_surges_still_gets_its_share(surges):
    """It gets more than its usual in total, since there is more than that left."""
    served = mean(
        sum(
            each.done
            for each in simulation.requests_of("review")
            if each.team == SURGING_TEAM and SURGE[0] <= each.first_asked_at < SURGE[1]
        )
        for simulation in surges
    )
    seconds = SURGE[1] - SURGE[0]
    usual = REVIEWS_PER_S * seconds * WEIGHTS[0] / sum(WEIGHTS)
    assert served > usual


def test_surge_of_reviews_takes_nothing_from_the_most_urgent(surges):
    assert mean_credit(surges, False, "stream") > 0.9


def test_without_a_shortage_shares_change_nothing():
    """Large and small teams ask for what there is room for.

    The simulations draw the same arrivals: one refusal for a share would show. Nobody
    is refused for other reasons either, so that room is not short.
    """
    outcomes = [
        [
            (each.first_asked_at, each.first_event_at, each.refused_at)
            for each in simulate_surge(
                ROOMY, 0.3, 1, 1.0, shares, ENGINES, INSTANCES
            ).requests
        ]
        for shares in (True, False)
    ]
    assert not any(refused_at for _, _, refused_at in outcomes[1])
    assert outcomes[0] == outcomes[1]


def test_shares_are_found_again_after_all_instances_are_new(monkeypatch):
    """In the surge all instances lose what they know of demand at the same moment.

    Two seconds later the team that surges is refused again, and no other much.
    """
    forgets_at = 9.0

    def refused_share(simulation, is_surging):
        asked = [
            each
            for each in simulation.requests_of("review")
            if (each.team == SURGING_TEAM) is is_surging
            and forgets_at + 2 <= each.first_asked_at < SURGE[1]
        ]
        return mean(bool(each.refused_at) for each in asked)

    def forget(simulation):
        for instance in simulation.instances:
            instance.pools.teams.by_pool.clear()

    run = PoolSimulation.run

    def run_with_loss(simulation, seconds):
        simulation._schedule(forgets_at, lambda: forget(simulation))
        return run(simulation, seconds)

    monkeypatch.setattr(PoolSimulation, "run", run_with_loss)
    simulations = simulate(12.0)
    assert mean(refused_share(each, True) for each in simulations) > 0.3
    assert mean(refused_share(each, False) for each in simulations) < 0.1


def test_largest_requests_of_a_team_are_refused_as_often_as_others(surges):
    """Else the largest of a team that is beyond its share would be refused for good."""
    asked = [
        each
        for simulation in surges
        for each in simulation.requests_of("review")
        if each.team == SURGING_TEAM and SURGE[0] <= each.first_asked_at < SURGE[1]
    ]
    asked.sort(key=lambda each: each.prompt.prompt_tokens)
    largest = asked[-len(asked) // 10 :]
    refused = mean(bool(each.refused_at) for each in asked)
    assert mean(bool(each.refused_at) for each in largest) < refused + 0.15
