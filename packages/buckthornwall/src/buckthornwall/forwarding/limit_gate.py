"""Admission of requests to a pool all of whose upstreams have a rate limit."""

from collections.abc import Callable

import trio

from buckthornwall.pools import Choice, PoolTable
from buckthornwall.utils import Clock

from .job import Job

__all__ = ["LimitGate"]

# A request waits for a token for at most this fraction of its target, and polls for one
# at this interval.
MAX_WAIT_TARGETS = 0.5
POLL_INTERVAL_S = 0.01


class LimitGate:
    """Admits requests in order of urgency as tokens become available.

    Parameters
    ----------
    pools
        Upstreams, and the queues of waiting requests.
    clock
        Source of time.
    choose
        Returns the upstream for a request now, or None if there is none.
    """

    def __init__(
        self, pools: PoolTable, clock: Clock, choose: Callable[[Job], Choice | None]
    ) -> None:
        self.pools = pools
        self.clock = clock
        self.choose = choose

    async def admit(self, job: Job) -> Choice | None:
        """Return the choice for a request once a token is available.

        None if no token comes soon. Retries do not wait, since their clients have
        waited already.
        """
        pool, rank = job.resolution.pool.id, job.resolution.rank
        permitted = job.traits.permitted
        queue = self.pools.limit_queue(pool)
        queue.record_arrival(rank, self.clock.now())
        if job.tried or not self.pools.is_limited(pool, permitted):
            return self.choose(job)
        self.pools.rate_limits.demand.record_request(self.clock.now())
        if not queue.count_ahead(rank) and (choice := self._try_choose(job)):
            return choice
        return await self._wait(job)

    def _try_choose(self, job: Job) -> Choice | None:
        """Return the choice for a request if a token is available to its rank."""
        pool, rank = job.resolution.pool.id, job.resolution.rank
        queue = self.pools.limit_queue(pool)
        is_first = queue.is_most_urgent(rank, self.clock.now())
        if is_first or self.pools.has_spare_token(pool, job.traits.permitted):
            return self.choose(job)
        return None

    async def _wait(self, job: Job) -> Choice | None:
        pool, rank = job.resolution.pool.id, job.resolution.rank
        queue = self.pools.limit_queue(pool)
        target_s = job.resolution.route.target_s
        deadline = job.request.received_at + MAX_WAIT_TARGETS * target_s
        if self.clock.now() + self._expected_wait_s(job) > deadline:
            return None
        with queue.join(rank) as place:
            while self.clock.now() <= deadline:
                if queue.is_next(place) and (choice := self._try_choose(job)):
                    queue.record_grant()
                    return choice
                await trio.sleep(POLL_INTERVAL_S)
        return None

    def _expected_wait_s(self, job: Job) -> float:
        """Return the expected wait for a token, in seconds."""
        pool, permitted = job.resolution.pool.id, job.traits.permitted
        wait_s = self.pools.limit_wait_s(pool, permitted)
        ahead = self.pools.limit_queue(pool).count_ahead(job.resolution.rank)
        if not ahead:
            return wait_s
        return wait_s + ahead * self.pools.limit_interval_s(pool, permitted)
