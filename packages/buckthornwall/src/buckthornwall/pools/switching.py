"""Decide whether a request that waits silently at an engine is sent to another one.

The time since it was sent does not tell an engine that is lost from one that serves
others first. Nor does the time since that engine last sent data: one of many instances
has few streams there.
"""

from .expectation import expected_s
from .overload import is_late
from .placement import Choice
from .table import PoolTable
from .traits import RequestTraits

__all__ = ["is_served_in_order"]


def is_served_in_order(
    pools: PoolTable,
    traits: RequestTraits,
    current: Choice,
    alternative: Choice,
    now: float,
) -> bool:
    """Return whether a request is better left to wait where it is.

    It is while its engine is usable and has other prompts to prefill before it, and no
    other engine would serve it in time: elsewhere it would wait behind all that is
    queued there.

    Parameters
    ----------
    pools
        State of all upstreams.
    traits
        The request; one without a prompt waits behind no prefill.
    current, alternative
        Where it waits, and where it would be sent.
    now
        The time in seconds.
    """
    if traits.prompt is None:
        return False
    resolution = traits.resolution
    usable = pools.usable(resolution.pool.id, frozenset(), traits.permitted)
    if current.view not in usable:
        return False
    pending = current.view.load.pending_prefill_before(resolution.rank)
    if pending <= current.uncached_tokens:
        return False
    return is_late(expected_s(pools, traits, alternative), resolution.route.target_s)
