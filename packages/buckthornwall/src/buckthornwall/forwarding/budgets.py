"""An instance's share of the fleet's retry budget.

The fleet may retry a fraction of the requests to a pool, plus a fixed reserve in each
window. Each instance earns the fraction from its own requests, and gets the reserve
divided by the number of live instances.
"""

from buckthornwall.routing import PoolId
from buckthornwall.upstreams import RetryBudget

__all__ = ["RetryBudgets"]

# Keeps ratio and reserve below the allowed ones, since the instances' counts differ
# slightly.
SAFETY_FACTOR = 0.8
# A drop in the number of instances is followed by this factor per update.
INSTANCE_COUNT_DECAY = 0.99
# Assumed fleet size before any peer is known. After a loss of all instances, each would
# otherwise start with the reserve of the whole fleet.
INITIAL_INSTANCES = 12.0


class RetryBudgets:
    """A retry budget for each pool.

    Parameters
    ----------
    ratio
        Retries allowed for each request, over the fleet.
    reserve
        Additional retries allowed in one window, over the fleet.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self.ratio = ratio * SAFETY_FACTOR
        self.reserve = reserve * SAFETY_FACTOR
        self.instances = INITIAL_INSTANCES
        self._budgets: dict[PoolId, RetryBudget] = {}

    def set_instances(self, count: int) -> None:
        """Set the number of live instances, this one included.

        A drop takes effect gradually, so that instances that are partitioned from
        each other do not each take the reserve of the whole fleet.
        """
        self.instances = max(1.0, float(count), self.instances * INSTANCE_COUNT_DECAY)
        for budget in self._budgets.values():
            budget.reserve = self._local_reserve()
            budget.balance = min(budget.balance, budget.reserve)

    def earn(self, pool: PoolId) -> None:
        """Count a request."""
        self._budget(pool).earn()

    def take_back(self, pool: PoolId) -> None:
        """Take back the count of a request that a peer counts."""
        self._budget(pool).take_back()

    def spend(self, pool: PoolId) -> bool:
        """Take one retry; return False if none is left."""
        return self._budget(pool).spend()

    def _local_reserve(self) -> float:
        return max(1.0, self.reserve / self.instances)

    def _budget(self, pool: PoolId) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = RetryBudget(self.ratio, self._local_reserve())
        return self._budgets[pool]
