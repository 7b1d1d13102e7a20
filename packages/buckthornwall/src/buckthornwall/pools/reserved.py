"""Engines kept free of long prompts, for streams that cannot run beside them.

An engine reads prompts in pieces between the tokens of its running streams, and
each piece stretches a step. Where a stream's contract allows no event to wait
for that many stretched steps, or where its longest answer takes more of them than
its timeout allows, it cannot be kept beside long prompts at all, whatever the
order of urgency. Such streams are *pause-sensitive*: they go to a few engines of their
own, as many as they fill. Who else may go there is a matter of cost (`placement`).
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from buckthornwall.engine_model import EngineModel
from buckthornwall.routing import Pool, PromptShape, RequestRoute, ResponseMode
from buckthornwall.utils import UpstreamId, hash_share, rendezvous_order

from .view import UpstreamView

__all__ = ["ReservedEngines", "Split", "is_pause_sensitive"]

# A stream is pause-sensitive if an event of long steps takes more than this part of its
# longest pause: one gap in ten is longer than those steps, and a stream has dozens of
# gaps.
SAFE_PAUSE_SHARE = 0.8
# Quiet engines are filled to this part of their slots: what one loss cuts off stays
# bounded, and a burst fits.
TARGET_UTILIZATION = 0.4
# Demand below this part of a stream is the rest of a decay, not a stream.
MIN_DEMAND = 0.02
# At most this part of a pool is kept for pause-sensitive streams.
MAX_RESERVED_SHARE = 1 / 3
# Demand falls off with this time constant, so that the set does not flap.
DEMAND_DECAY_S = 5.0


def is_pause_sensitive(
    route: RequestRoute, pool: Pool, prompt: PromptShape | None, model: EngineModel
) -> bool:
    """Tell whether a stream cannot be kept beside the reading of long prompts.

    Parameters
    ----------
    route, pool, prompt
        Its contract, where it goes, and what is known of it.
    model
        What the pool's engines have shown of their steps.
    """
    if (
        route.response_mode is not ResponseMode.EVENT_STREAM
        or pool.engine is None
        or prompt is None
    ):
        return False
    if not prompt.is_decode_heavy:
        return False  # it brings to such engines what they are kept free of
    event_s = pool.engine.tokens_per_event * model.p90_prefill_step_s
    if event_s > SAFE_PAUSE_SHARE * route.max_pause_s:
        return True
    return model.slow_decode_s(prompt.max_output_tokens) > route.timeout_s


@dataclass(frozen=True, slots=True)
class Split:
    """The engines kept for pause-sensitive streams, and the others of a pool.

    `overflow` is the part of the pause-sensitive streams that the reserved engines have
    no room for.
    """

    reserved: list[UpstreamView]
    others: list[UpstreamView]
    overflow: float = 0.0

    @property
    def reserved_ids(self) -> frozenset[UpstreamId]:
        """Ids of the reserved engines."""
        return frozenset(view.id for view in self.reserved)

    def eligible_engines(self, key: str, now: float) -> list[UpstreamView]:
        """Return the engines that a pause-sensitive stream may go to.

        Those that overflow are drawn by their key: sent to the few engines kept that
        were last told to have a free slot, they waited there for each other until
        their callers left, while the others had room.
        """
        everywhere = [*self.reserved, *self.others]
        if hash_share(key) < self.overflow:
            return everywhere
        free = [
            view
            for view in self.reserved
            if view.load.in_flight(now) < view.entry.slots
        ]
        return free or everywhere


class ReservedEngines:
    """Which engines of one pool are kept for pause-sensitive streams.

    Every instance comes to nearly the same set: it is taken from the head of a
    hash order, and only its size depends on the counts.

    Parameters
    ----------
    pool
        Id of the pool, the key of the order.
    model
        What its engines have shown of their steps.

    """

    def __init__(self, pool: str, model: EngineModel) -> None:
        self.pool = pool
        self.model = model
        self._demand = 0.0
        self._demand_at = 0.0
        self._reserved: set[UpstreamId] = set()
        self._event_tokens = 0
        self._pauses: list[float] = []
        self._min_seen_pause_s = math.inf
        self._ordered_ids: list[UpstreamId] = []
        self._order: list[UpstreamId] = []

    def set_contracts(self, tokens_per_event: int, pauses: Iterable[float]) -> None:
        """Take the longest pauses that streams of this pool allow, in seconds."""
        self._event_tokens = tokens_per_event
        self._pauses = sorted(pauses)

    @property
    def max_pause_s(self) -> float:
        """The shortest of the longest pauses that pause-sensitive streams allow.

        By contract, not by what came here: one of many instances sees a stream that
        must not pause every few seconds, and until its first one would send long
        prompts to the reserved engines for them.
        """
        event_s = self._event_tokens * self.model.p90_prefill_step_s
        min_pause_s = next(iter(self._pauses), math.inf)
        if event_s <= SAFE_PAUSE_SHARE * min_pause_s:
            min_pause_s = math.inf
        return min(min_pause_s, self._min_seen_pause_s)

    def split(
        self,
        views: list[UpstreamView],
        now: float,
        arriving: RequestRoute | None = None,
    ) -> Split:
        """Return which engines are kept now, of those that a request may go to.

        Parameters
        ----------
        views
            Those engines.
        now
            The time in seconds.
        arriving
            Route of a pause-sensitive stream that is to be placed now: the first one of
            all finds an engine kept for it, or would run beside the reading of prompts
            that no engine holds yet.
        """
        if arriving is not None:
            self._min_seen_pause_s = min(self._min_seen_pause_s, arriving.max_pause_s)
        self._update_demand(views, now, arriving is not None)
        by_id = {view.id: view for view in views}
        order = self._hash_order(list(by_id))
        max_size = int(len(order) * MAX_RESERVED_SHARE)
        slots = max((view.entry.slots for view in views), default=1)
        needed = self._demand / (slots * TARGET_UTILIZATION)
        size = min(max_size, math.ceil(needed)) if self._demand >= MIN_DEMAND else 0
        self._reserved = set(order[:size])
        capacity = size * slots * TARGET_UTILIZATION
        return Split(
            reserved=[by_id[name] for name in order[:size]],
            others=[by_id[name] for name in order[size:]],
            overflow=max(0.0, 1 - capacity / self._demand) if size else 0.0,
        )

    def _hash_order(self, ids: list[UpstreamId]) -> list[UpstreamId]:
        """Return engines in their hash order, kept from one request to the next."""
        if ids != self._ordered_ids:
            self._ordered_ids = ids
            self._order = rendezvous_order(self.pool, ids)
        return self._order

    def _update_demand(
        self, views: list[UpstreamView], now: float, arriving: bool
    ) -> None:
        # A stream beside long prompts lasts longer than it would on a quiet engine.
        slowdown = self.model.prefill_step_s / self.model.decode_step_s
        running = arriving + sum(
            view.load.total_pause_sensitive()
            / (1 if view.id in self._reserved else slowdown)
            for view in views
        )
        decayed = self._demand * math.exp((self._demand_at - now) / DEMAND_DECAY_S)
        self._demand = max(running, decayed)
        self._demand_at = now
