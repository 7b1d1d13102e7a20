"""Engines kept free of long prompts, for streams whose pauses must be short.

An engine reads prompts in pieces between the tokens of its running streams, and
each piece stretches a step. Where a stream's contract allows no event to wait
for that many stretched steps, it cannot be kept beside long prompts at all,
whatever the order of urgency. Such streams are *tight*: they go to a few
engines of their own, as many as they fill, and all else goes elsewhere.
"""

import math

from buckthornwall.routing import AnswerForm, Pool, RequestRoute
from buckthornwall.utils import rendezvous_order

from .view import UpstreamView

__all__ = ["QuietEngines", "is_tight"]

# Milliseconds from one token to the next, at the caller, while an engine reads
# prompts: of nine in ten streams with events of three tokens, the longest pause
# was 101 to 110 ms, behind 200 ms and more of unread prompts.
STEP_WHILE_READING_MS = 35.0
# Quiet engines are filled to this part of their slots, so that a burst fits.
FILL_SHARE = 0.5
# At most this part of a pool is kept for tight streams.
MOST_SHARE = 1 / 3
# Demand falls off with this time constant, so that the set does not flap.
DECAY_S = 5.0


def is_tight(route: RequestRoute, pool: Pool) -> bool:
    """Tell whether a route's streams cannot be kept beside long prompts."""
    if route.form is not AnswerForm.EVENTS or pool.engine is None:
        return False
    event_ms = pool.engine.tokens_per_event * STEP_WHILE_READING_MS
    return event_ms > route.max_pause_s * 1000


class QuietEngines:
    """Which engines of one pool are kept for tight streams.

    Every instance comes to nearly the same set: it is taken from the head of a
    hash order, and only its size depends on the counts.

    Parameters
    ----------
    pool
        Id of the pool, the key of the order.
    """

    def __init__(self, pool: str) -> None:
        self.pool = pool
        self._demand = 0.0
        self._demand_at = 0.0

    def split(
        self, views: list[UpstreamView], now: float
    ) -> tuple[list[UpstreamView], list[UpstreamView]]:
        """Return the engines for tight streams, and those for all else.

        Either list may be empty where the pool is too small to be split.
        """
        self._update_demand(views, now)
        by_id = {view.id: view for view in views}
        order = rendezvous_order(self.pool, by_id)
        most = int(len(order) * MOST_SHARE)
        slots = max((view.entry.slots for view in views), default=1)
        wanted = max(1, math.ceil(self._demand / (slots * FILL_SHARE)))
        size = min(most, wanted)
        kept = [by_id[name] for name in order[:size]]
        return kept, [by_id[name] for name in order[size:]]

    def _update_demand(self, views: list[UpstreamView], now: float) -> None:
        running = sum(view.load.tight_all() for view in views)
        faded = self._demand * math.exp((self._demand_at - now) / DECAY_S)
        self._demand = max(float(running), faded)
        self._demand_at = now
