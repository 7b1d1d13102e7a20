"""Engines reserved for streams that cannot run beside the prefill of long prompts.

An engine prefills prompts in chunks between the decode steps of its running streams,
and each chunk makes a step longer. A stream is *pause-sensitive* if its contract does
not allow an event to take that many prefill steps, or its longest response would exceed
its timeout with them. Priorities cannot help there, so such streams go to a few
reserved engines, as many as they need. Whether other prompts may go there depends on
their cost (`placement`).
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from buckthornwall.engine_model import EngineModel
from buckthornwall.routing import Pool, PromptShape, RequestRoute, ResponseMode
from buckthornwall.telemetry import log_event
from buckthornwall.utils import UpstreamId, hash_fraction, rendezvous_order

from .engine_speed import USUAL_SLOWNESS
from .stream_forecast import StreamForecast
from .view import UpstreamView

__all__ = ["ReservedEngines", "Split", "is_pause_sensitive", "speed_class"]

# A stream is pause-sensitive if an event of 90th-percentile prefill steps takes more
# than this share of its longest allowed pause: one gap in ten is longer than that, and
# a stream has dozens of gaps.
SAFE_PAUSE_SHARE = 0.8
# Target utilization of the slots of reserved engines. It bounds the streams that the
# loss of one engine cuts off, and leaves room for bursts.
TARGET_UTILIZATION = 0.4
# Where reserved engines have owners, this share of their slots holds the forecast
# before some streams go to other engines: beside little prefill a full engine still
# keeps pauses short. The rest is for streams sent since the reports.
MAX_UTILIZATION = 0.75
# Less demand, in streams, is only the tail of the exponential decay.
MIN_DEMAND = 0.02
# At most this share of what the engines of a pool can do is reserved.
MAX_RESERVED_SHARE = 1 / 3
# Time constant with which demand decays, so that the reserved set does not flap.
DEMAND_DECAY_S = 5.0
# Changes of the reserved set are logged at most this often, in seconds.
LOG_INTERVAL_S = 1.0


def is_pause_sensitive(
    route: RequestRoute, pool: Pool, prompt: PromptShape | None, model: EngineModel
) -> bool:
    """Return whether a stream cannot run beside the prefill of long prompts.

    Parameters
    ----------
    route, pool, prompt
        Its contract, its pool, and the shape of its prompt.
    model
        Learned step times of the pool's engines.
    """
    if (
        route.response_mode is not ResponseMode.EVENT_STREAM
        or pool.engine is None
        or prompt is None
    ):
        return False
    if not prompt.is_decode_heavy:
        return False  # its own prefill would disturb the reserved engines
    event_s = pool.engine.tokens_per_event * model.p90_prefill_step_s
    if event_s > SAFE_PAUSE_SHARE * route.max_pause_s:
        return True
    return model.decode_beside_prefill_s(prompt.max_output_tokens) > route.timeout_s


def speed_class(view: UpstreamView) -> int:
    """Return a coarse class of an engine's speed; lower classes are reserved first.

    By its lasting speed: what an engine states of the present moment would change the
    reserved set with it. Pauses are shortest at the fastest engines.
    """
    slowness = view.speed.slowness
    return (slowness > USUAL_SLOWNESS) - (slowness < USUAL_SLOWNESS)


@dataclass(frozen=True, slots=True)
class Split:
    """The reserved engines, and the others of a pool.

    `overflow` is the share of pause-sensitive streams, 0 to 1, that exceeds the
    capacity of the reserved engines.
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

        The overflow is sampled by the hash of its key, and may go to any engine. If all
        streams went to the few reserved engines last reported to have a free slot, they
        would queue there until their clients disconnect while other engines have room.
        """
        everywhere = [*self.reserved, *self.others]
        if hash_fraction(key) < self.overflow:
            return everywhere
        free = [
            view
            for view in self.reserved
            if view.load.in_flight(now) < view.entry.slots
        ]
        return free or everywhere


def _reserved_size(speeds: list[float], needed: float) -> int:
    """Return how many engines to reserve, in the order of their relative speeds.

    Fast engines hold more streams, as these end sooner, and are a larger part of what
    the pool can do: both are counted in usual engines.
    """
    limit = MAX_RESERVED_SHARE * sum(speeds)
    reserved = 0.0
    for size, speed in enumerate(speeds):
        if reserved >= needed or reserved + speed > limit:
            return size
        reserved += speed
    return len(speeds)


class ReservedEngines:
    """The engines of one pool that are reserved for pause-sensitive streams.

    Every instance computes nearly the same set: the first engines of a rendezvous-hash
    order. Only its size depends on load counts.

    Parameters
    ----------
    pool
        Id of the pool, the key of the hash order.
    model
        Learned step times of its engines.

    """

    def __init__(self, pool: str, model: EngineModel) -> None:
        self.pool = pool
        self.model = model
        self._demand = 0.0
        self._demand_at = 0.0
        self._forecast = StreamForecast()
        self._reserved: set[UpstreamId] = set()
        self._logged: set[UpstreamId] = set()
        self._logged_at = -math.inf
        self.tokens_per_event = 0
        self._pauses: list[float] = []
        self._min_seen_pause_s = math.inf
        self._ordered_ids: list[UpstreamId] = []
        self._order: list[UpstreamId] = []

    def set_contracts(self, tokens_per_event: int, pauses: Iterable[float]) -> None:
        """Set the longest pauses that streams of this pool allow, in seconds."""
        self.tokens_per_event = tokens_per_event
        self._pauses = sorted(pauses)

    def assume_demand(self, streams: float, now: float) -> None:
        """Expect at least this many streams at first, where any are pause-sensitive."""
        if not math.isfinite(self.max_pause_s):
            return
        self._forecast.assume(streams, now)
        if streams > self._demand:
            self._demand, self._demand_at = streams, now

    @property
    def ids(self) -> frozenset[UpstreamId]:
        """Ids of the engines that are reserved now."""
        return frozenset(self._reserved)

    @property
    def max_pause_s(self) -> float:
        """Lowest pause limit of pause-sensitive streams, in seconds.

        It follows from the contracts, not only from the streams seen here: one of many
        instances sees a pause-sensitive stream only every few seconds, and before its
        first one it would send long prompts to the reserved engines.
        """
        event_s = self.tokens_per_event * self.model.p90_prefill_step_s
        min_pause_s = next(iter(self._pauses), math.inf)
        if event_s <= SAFE_PAUSE_SHARE * min_pause_s:
            min_pause_s = math.inf
        return min(min_pause_s, self._min_seen_pause_s)

    @property
    def min_pause_s(self) -> float:
        """Lowest pause limit of any stream of this pool, in seconds.

        The limit where engines are reserved: some instance then runs streams that need
        it, whatever the step times are that this one has learned.
        """
        return min(next(iter(self._pauses), math.inf), self._min_seen_pause_s)

    def split(
        self,
        views: list[UpstreamView],
        now: float,
        arriving: RequestRoute | None = None,
        pool_views: Collection[UpstreamView] = (),
    ) -> Split:
        """Return which engines are reserved now, of those that a request may go to.

        Parameters
        ----------
        views
            Those engines.
        now
            The time in seconds.
        arriving
            Route of a pause-sensitive stream that is placed now, if it is one. It
            counts as demand, so that even the first one finds a reserved engine;
            otherwise it would run beside the prefill of prompts that no engine has
            cached yet.
        pool_views
            All usable engines of the pool, if reserved engines have owners
            (`prefill_owners`). Demand is then a forecast over all of them, since one
            over the engines that a request may still go to would take each retry for a
            change of the load.
        """
        if arriving is not None:
            self._min_seen_pause_s = min(self._min_seen_pause_s, arriving.max_pause_s)
        if pool_views:
            running = self._running(pool_views) + (arriving is not None)
            demand = self._forecast.update(running, now)
            demand *= min(1.0, len(views) / len(pool_views))
            utilization = MAX_UTILIZATION
        else:
            self._update_demand(views, now, arriving is not None)
            demand, utilization = self._demand, TARGET_UTILIZATION
        by_id = {view.id: view for view in views}
        order = self._hash_order(list(by_id))
        if pool_views:
            order = sorted(order, key=lambda name: speed_class(by_id[name]))
        speeds = [1 / by_id[name].speed.slowness for name in order]
        slots = max((view.entry.slots for view in views), default=1)
        needed = demand / (slots * TARGET_UTILIZATION)
        size = _reserved_size(speeds, needed) if demand >= MIN_DEMAND else 0
        self._set_reserved(set(order[:size]), demand, now)
        capacity = sum(speeds[:size]) * slots * utilization
        return Split(
            reserved=[by_id[name] for name in order[:size]],
            others=[by_id[name] for name in order[size:]],
            overflow=max(0.0, 1 - capacity / demand) if size else 0.0,
        )

    def _hash_order(self, ids: list[UpstreamId]) -> list[UpstreamId]:
        """Return engines in rendezvous order; cached while the ids are the same."""
        if ids != self._ordered_ids:
            self._ordered_ids = ids
            self._order = rendezvous_order(self.pool, ids)
        return self._order

    def _update_demand(
        self, views: list[UpstreamView], now: float, arriving: bool
    ) -> None:
        running = arriving + self._running(views)
        decayed = self._demand * math.exp((self._demand_at - now) / DEMAND_DECAY_S)
        self._demand = max(running, decayed)
        self._demand_at = now

    def _running(self, views: Collection[UpstreamView]) -> float:
        """Return how many streams would run if all were on reserved engines."""
        # A stream beside long prompts lasts longer than it would on a reserved engine.
        slowdown = self.model.prefill_step_s / self.model.decode_step_s
        return sum(
            view.load.total_pause_sensitive()
            / (1 if view.id in self._reserved else slowdown)
            for view in views
        )

    def _set_reserved(
        self, reserved: set[UpstreamId], demand: float, now: float
    ) -> None:
        """Set the reserved engines, and log them if they have changed."""
        self._reserved = reserved
        elapsed_s = now - self._logged_at
        if reserved == self._logged or 0 <= elapsed_s < LOG_INTERVAL_S:
            return
        log_event(
            "engines_reserved",
            pool=self.pool,
            engines=",".join(sorted(reserved)),
            before=len(self._logged),
            size=len(reserved),
            demand=round(demand, 1),
        )
        self._logged, self._logged_at = reserved, now
