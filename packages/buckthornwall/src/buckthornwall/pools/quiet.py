"""Engines kept free of long prompts, for streams that cannot run beside them.

An engine reads prompts in pieces between the tokens of its running streams, and
each piece stretches a step. Where a stream's contract allows no event to wait
for that many stretched steps, or where its longest answer takes more of them than
its timeout allows, it cannot be kept beside long prompts at all, whatever the
order of urgency. Such streams are *tight*: they go to a few engines of their own,
as many as they fill, and all else goes elsewhere where it can.
"""

import math
from dataclasses import dataclass

from buckthornwall.routing import AnswerForm, Pool, PromptShape, RequestRoute
from buckthornwall.utils import UpstreamId, rendezvous_order

from .view import UpstreamView

__all__ = ["QuietEngines", "Split", "is_tight"]

# Milliseconds from one token to the next, at the caller, while an engine reads
# prompts: of nine in ten streams with events of three tokens, the longest pause
# was 101 to 110 ms, behind 200 ms and more of unread prompts.
STEP_WHILE_READING_MS = 35.0
# The same on average: of 108 streams that were cut off at their timeout, half
# had taken 112 ms and more for each event of four tokens.
MEAN_STEP_WHILE_READING_MS = 28.0
# Quiet engines are filled to this part of their slots, so that a burst fits.
FILL_SHARE = 0.85
# A stream beside long prompts takes this many times as long as on a quiet engine at
# least: 28 ms a token against 7 for half of the streams there, more where they fill.
READING_SLOWDOWN = 2.8
# Quiet engines that are filled less are shared: of five engines, one kept for
# tight streams that filled a third of it cost the other streams 0.44 of theirs.
EXCLUSIVE_SHARE = 0.5
# Fewer streams than this need no engine of their own.
LEAST_DEMAND = 1.0
# At most this part of a pool is kept for tight streams.
MOST_SHARE = 1 / 3
# Demand falls off with this time constant, so that the set does not flap.
DECAY_S = 5.0
MS_PER_S = 1000.0


def is_tight(route: RequestRoute, pool: Pool, prompt: PromptShape | None) -> bool:
    """Tell whether a stream cannot be kept beside the reading of long prompts."""
    if route.form is not AnswerForm.EVENTS or pool.engine is None or prompt is None:
        return False
    event_ms = pool.engine.tokens_per_event * STEP_WHILE_READING_MS
    if event_ms > route.max_pause_s * MS_PER_S:
        return True
    longest_ms = prompt.max_output_tokens * MEAN_STEP_WHILE_READING_MS
    return prompt.is_mostly_answer and longest_ms > route.timeout_s * MS_PER_S


@dataclass(frozen=True, slots=True)
class Split:
    """The engines kept for tight streams, and the others of a pool.

    `is_exclusive` tells whether tight streams fill those kept, so that nothing
    else may go there; else all else goes there too, though later.
    """

    kept: list[UpstreamView]
    others: list[UpstreamView]
    is_exclusive: bool


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
        self._kept: set[UpstreamId] = set()

    def split(self, views: list[UpstreamView], now: float) -> Split:
        """Return which engines are kept now, of those that a request may go to."""
        self._update_demand(views, now)
        by_id = {view.id: view for view in views}
        order = rendezvous_order(self.pool, by_id)
        most = int(len(order) * MOST_SHARE)
        slots = max((view.entry.slots for view in views), default=1)
        filled = self._demand / (slots * FILL_SHARE)
        size = min(most, math.ceil(filled)) if self._demand >= LEAST_DEMAND else 0
        self._kept = set(order[:size])
        return Split(
            kept=[by_id[name] for name in order[:size]],
            others=[by_id[name] for name in order[size:]],
            is_exclusive=filled >= size * EXCLUSIVE_SHARE,
        )

    def _update_demand(self, views: list[UpstreamView], now: float) -> None:
        running = sum(
            view.load.tight_all() / (1 if view.id in self._kept else READING_SLOWDOWN)
            for view in views
        )
        faded = self._demand * math.exp((self._demand_at - now) / DECAY_S)
        self._demand = max(running, faded)
        self._demand_at = now
