"""Tests of an instance's share of the fleet's retry budget."""

from buckthornwall.forwarding import RetryBudgets
from buckthornwall.routing import PoolId

POOL = PoolId("p")


def spendable(budgets):
    """Return how many retries the budget allows."""
    spent = 0
    while budgets.spend(POOL):
        spent += 1
    return spent


def test_reserve_is_divided_by_live_instances():
    budgets = RetryBudgets(0.0, 100.0)
    budgets.set_instances(20)
    assert spendable(budgets) == 4


def test_partitioned_instance_does_not_take_reserve_of_fleet():
    budgets = RetryBudgets(0.0, 100.0)
    budgets.set_instances(20)
    for _ in range(10):
        budgets.set_instances(1)
    assert spendable(budgets) <= 6


def test_instance_without_known_peers_takes_small_reserve():
    assert spendable(RetryBudgets(0.0, 100.0)) <= 8


def test_single_instance_converges_to_full_reserve():
    budgets = RetryBudgets(0.0, 100.0)
    for _ in range(600):
        budgets.set_instances(1)
    assert budgets.instances == 1


def test_requests_earn_retries_by_ratio():
    budgets = RetryBudgets(0.25, 1.0)
    assert spendable(budgets) == 1
    for _ in range(5):
        budgets.earn(POOL)
    assert spendable(budgets) == 1


def test_request_that_a_peer_counts_earns_nothing_here():
    budgets = RetryBudgets(0.25, 1.0)
    assert spendable(budgets) == 1
    for _ in range(50):
        budgets.earn(POOL)
        budgets.take_back(POOL)
    assert spendable(budgets) == 0
