"""Tests of one instance's part of the fleet's retries."""

from buckthornwall.forwarding import RetryBudgets
from buckthornwall.routing import PoolId

POOL = PoolId("p")


def spendable(budgets):
    """Return how many repeats there are."""
    spent = 0
    while budgets.spend(POOL):
        spent += 1
    return spent


def test_the_reserve_is_divided_by_the_live_instances():
    budgets = RetryBudgets(0.0, 100.0)
    budgets.set_instances(20)
    assert spendable(budgets) == 4


def test_an_instance_that_is_cut_off_does_not_take_the_part_of_all():
    budgets = RetryBudgets(0.0, 100.0)
    budgets.set_instances(20)
    for _ in range(10):
        budgets.set_instances(1)
    assert spendable(budgets) <= 6


def test_an_instance_that_has_heard_nobody_takes_a_small_part():
    assert spendable(RetryBudgets(0.0, 100.0)) <= 8


def test_a_fleet_of_one_comes_to_have_all():
    budgets = RetryBudgets(0.0, 100.0)
    for _ in range(600):
        budgets.set_instances(1)
    assert budgets.instances == 1


def test_requests_earn_their_share():
    budgets = RetryBudgets(0.25, 1.0)
    assert spendable(budgets) == 1
    for _ in range(5):
        budgets.earn(POOL)
    assert spendable(budgets) == 1
