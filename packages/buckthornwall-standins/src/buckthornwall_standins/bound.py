"""Upper bound: the tokens served by a scheduler with perfect knowledge."""

import heapq
import itertools

from .callers import Arrival
from .deployments import Deployment
from .engine import EngineModel

__all__ = ["compute_token_bound"]


def compute_token_bound(
    deployment: Deployment, model: EngineModel, arrivals: list[Arrival]
) -> int:
    """Return the tokens that a scheduler with perfect knowledge serves within target.

    A pool is a number of slots, each of which generates a token in the step time of a
    full batch; prefill is free, nothing fails, and messages take no time. A free slot
    serves the most urgent class first, and within it the earliest deadline; requests
    that cannot start in time are skipped.
    """
    return sum(
        _compute_pool_bound(
            deployment.pools[pool] * model.slots,
            (model.step_ms + model.slots * model.load_ms) / 1000,
            [each for each in arrivals if each.load.pool == pool],
        )
        for pool in deployment.pools
    )


def _compute_pool_bound(slots: int, step_s: float, arrivals: list[Arrival]) -> int:
    sequence = itertools.count()
    free_at = [0.0] * slots
    waiting: list[tuple[int, float, int, Arrival]] = []
    pending = iter(sorted(arrivals, key=lambda each: each.at))
    upcoming = next(pending, None)
    served = 0
    while upcoming is not None or waiting:
        now = free_at[0]
        if not waiting and upcoming is not None:
            now = max(now, upcoming.at)
        while upcoming is not None and upcoming.at <= now:
            deadline = upcoming.at + upcoming.load.first_token_s - step_s
            entry = (upcoming.load.tier, deadline, next(sequence), upcoming)
            heapq.heappush(waiting, entry)
            upcoming = next(pending, None)
        _, deadline, _, arrival = heapq.heappop(waiting)
        if deadline < now:
            continue
        heapq.heapreplace(free_at, now + arrival.length * step_s)
        served += arrival.length
    return served
