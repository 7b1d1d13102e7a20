"""Decide how much of a pool's new work is refused, by the prefill pending there.

Prefill and memory of model engines are full long before their slots are in use. What an
instance knows of one engine is a few hundred milliseconds old, and the engine that
looks emptiest is the one that all instances have sent to since then. What most engines
have pending says more: no single one of them, nor what was said of it, decides.
"""

import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from buckthornwall.engine_model import EngineModel, scale_model

from .view import UpstreamView

__all__ = ["Backlog", "find_backlog", "is_shared_by_many"]

# Waits at the engines of a pool are spread about exponentially, as instances do not see
# each other's last requests. At a mean wait of a fifth of the target one request in
# fifty then waits for over 0.8 targets, and at half of it one in five. Between the two
# the share that is refused rises steadily: with one threshold all instances would
# refuse, and admit again, at the same time.
MIN_SHED_TARGETS = 0.2
MAX_SHED_TARGETS = 0.5
# Mean of exponentially distributed waits relative to their median. The median holds
# while fewer than half of the engines are full, crashed or said to be so.
MEAN_PER_MEDIAN = 1 / math.log(2)
# An instance that sends less than this share of a pool's work does not see the others'
# last requests in time. One that sends more knows each engine well enough to decide by
# the load of its choice, and a queue that is even is no reason to refuse.
MAX_LOCAL_SHARE = 1 / 20
# Not all are refused for the backlog alone, so that no kind of request starves. The
# remaining ones are still refused if they are late at their own engine.
MAX_SHED_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Backlog:
    """Prefill that waits in a pool before a new request.

    Attributes
    ----------
    mean_wait_s : float
        Mean time until an engine has prefilled it, by the median engine, in seconds.
    target_s : float
        Target of the request's time to first token, in seconds.
    """

    mean_wait_s: float
    target_s: float

    @property
    def is_high(self) -> bool:
        """Whether some requests would come late, wherever they are sent."""
        return self.mean_wait_s > MIN_SHED_TARGETS * self.target_s

    @property
    def shed_share(self) -> float:
        """Share of the requests to refuse, from 0 to `MAX_SHED_SHARE`."""
        if not self.is_high:
            return 0.0
        over = self.mean_wait_s - MIN_SHED_TARGETS * self.target_s
        full = (MAX_SHED_TARGETS - MIN_SHED_TARGETS) * self.target_s
        return min(MAX_SHED_SHARE, over / full)


def find_backlog(
    views: Iterable[UpstreamView],
    model: EngineModel,
    rank: int,
    target_s: float,
    now: float,
) -> Backlog:
    """Return the backlog of the engines that a request may be sent to.

    Parameters
    ----------
    views
        Those engines.
    model
        Speed of the pool's engines.
    rank, target_s
        Rank of the request, and the target of its time to first token in seconds.
    now
        The time in seconds.
    """
    waits_s = [
        scale_model(model, view.slowness(now)).prefill_s(
            view.load.pending_prefill_before(rank)
        )
        for view in views
    ]
    # Of an even number the lower one: where half of the engines have room, all may.
    median_s = statistics.median_low(waits_s) if waits_s else 0.0
    return Backlog(MEAN_PER_MEDIAN * median_s, target_s)


def is_shared_by_many(views: Iterable[UpstreamView]) -> bool:
    """Return whether nearly all requests at some engines are those of peers."""
    local = peers = 0
    for view in views:
        local += view.load.requests
        peers += view.load.peers.requests
    # One more, as an instance that has just started, or has none by chance, sent none.
    return local + 1 < MAX_LOCAL_SHARE * (local + peers)
