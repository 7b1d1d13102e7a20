"""The part of the fleet's retries that one instance may make.

All instances together may repeat a share of the requests to a pool, and a
fixed number besides. Each earns the share from its own requests, and gets the
fixed number divided by the instances that are live.
"""

from buckthornwall.routing import PoolId
from buckthornwall.upstreams import RetryBudget

__all__ = ["RetryBudgets"]

# Both are kept below what is allowed, since instances count a little apart.
SAFETY_FACTOR = 0.8
# What is kept of a higher number of instances from one look to the next.
INSTANCE_COUNT_DECAY = 0.99
# What an instance that has heard nobody yet takes the fleet to be: after a loss
# of all, each would else start with the part of all.
INITIAL_INSTANCES = 12.0


class RetryBudgets:
    """A budget for each pool.

    Parameters
    ----------
    ratio
        Repeats allowed for each request, over the fleet.
    reserve
        Repeats allowed besides in one window, over the fleet.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self.ratio = ratio * SAFETY_FACTOR
        self.reserve = reserve * SAFETY_FACTOR
        self.instances = INITIAL_INSTANCES
        self._budgets: dict[PoolId, RetryBudget] = {}

    def set_instances(self, count: int) -> None:
        """Take the number of live instances, this one included.

        A lower number counts only little by little: instances that are cut off
        from each other must not each take the part of all.
        """
        self.instances = max(1.0, float(count), self.instances * INSTANCE_COUNT_DECAY)
        for budget in self._budgets.values():
            budget.reserve = self._local_reserve()
            budget.balance = min(budget.balance, budget.reserve)

    def earn(self, pool: PoolId) -> None:
        """Count a request."""
        self._budget(pool).earn()

    def spend(self, pool: PoolId) -> bool:
        """Take one repeat; False if there is none left."""
        return self._budget(pool).spend()

    def _local_reserve(self) -> float:
        return max(1.0, self.reserve / self.instances)

    def _budget(self, pool: PoolId) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = RetryBudget(self.ratio, self._local_reserve())
        return self._budgets[pool]
