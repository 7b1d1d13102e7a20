"""Streams that instances expect when all of them have just started.

The first pause-sensitive stream of each instance goes to the engines reserved for
those that it knows of. Without any report of a peer it knows only its own, which fits
one engine, the same at every instance: all first streams would be prefilled there.
"""

from collections.abc import Collection

from .reserved import TARGET_UTILIZATION
from .view import UpstreamView

__all__ = ["assumed_streams"]


def assumed_streams(views: Collection[UpstreamView], instances: int) -> int:
    """Return the pause-sensitive streams to assume in a pool, 0 for no assumption.

    Instances that start together serve about as many streams each. Where any peer has
    reported work, its counts are used instead, and where one reserved engine is enough
    for a stream of each instance, nothing is assumed.

    Parameters
    ----------
    views
        The engines of the pool.
    instances
        Instances that are known, this one included.
    """
    if any(view.load.peers.requests for view in views):
        return 0
    slots = max((view.entry.slots for view in views), default=0)
    return instances if instances > TARGET_UTILIZATION * slots > 0 else 0
