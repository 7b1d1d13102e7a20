"""Probes of upstreams, which find out whether this instance is isolated."""

import random
from collections.abc import Callable

import trio

from buckthornwall.http1 import ExchangeError, ExchangeFailure
from buckthornwall.pools import PoolTable, UpstreamView, probe_order
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, UpstreamId

from .attempt import AttemptResult
from .connections import ConnectionCache

__all__ = ["IsolationMonitor"]

POLL_INTERVAL_S = 0.1
# Requests that wait this long while no upstream sends anything are a reason to probe.
SILENCE_S = 0.5
# Most rounds are refuted by the first upstreams.
FIRST_PROBES = 2
# Average interval of the probes of an isolated instance, and the fraction of it by
# which each one varies.
REGAIN_INTERVAL_S = 0.25
REGAIN_JITTER = 0.2


class IsolationMonitor:
    """Probes upstreams where there is reason to, and while this instance is isolated.

    Parameters
    ----------
    pools
        Registered upstreams, and the isolation.
    connections
        Opens the connections, and keeps those that open.
    clock
        Source of time.

    Attributes
    ----------
    count_isolated_peers : Callable
        Returns how many peers are isolated, for the log.
    is_known_ended : Callable
        Returns whether an upstream is known to have ended, which says nothing about
        this instance.
    """

    def __init__(
        self, pools: PoolTable, connections: ConnectionCache, clock: Clock
    ) -> None:
        self.pools = pools
        self.isolation = pools.isolation
        self.connections = connections
        self.clock = clock
        self.rng = random.Random()
        self.count_isolated_peers: Callable[[], int] = lambda: 0
        self.is_known_ended: Callable[[UpstreamId], bool] = lambda upstream: False
        self._lock = trio.Lock()
        self._busy_since: float | None = None
        self._order: list[UpstreamView] = []
        # When the newest round that was not cancelled began.
        self._known_at = float("-inf")
        connections.on_connected = lambda upstream: self.isolation.record_connected(
            upstream, clock.now()
        )
        connections.on_failed = lambda upstream: self.isolation.record_failed(
            upstream, clock.now()
        )

    def record_result(self, upstream: UpstreamId, result: AttemptResult) -> None:
        """Record the end of an attempt that may be due to an isolation.

        One that is silent is not, while data arrives from any upstream.
        """
        now = self.clock.now()
        is_silent = result.failure is ExchangeFailure.TIMED_OUT
        if result.is_connection_lost or (
            is_silent and now - self._answered_at() > SILENCE_S
        ):
            self.isolation.record_failed(upstream, now)

    async def run(self) -> None:
        """Probe whenever it is due, for ever."""
        while True:
            if self.isolation.is_isolated:
                jitter = self.rng.uniform(1 - REGAIN_JITTER, 1 + REGAIN_JITTER)
                next_at = trio.current_time() + REGAIN_INTERVAL_S * jitter
                await self._probe_next()
                await trio.sleep_until(next_at)
                continue
            now = self.clock.now()
            if self.isolation.is_probe_due(self._is_silent(now), now):
                await self.check()
            await trio.sleep(POLL_INTERVAL_S)

    async def check(self) -> bool:
        """Return whether this instance is isolated as of now, by probes if needed."""
        asked_at = self.clock.now()
        async with self._lock:
            is_known = (
                self.isolation.is_isolated
                or self.isolation.connected_at >= asked_at
                or self._known_at >= asked_at
            )
            if not is_known:
                await self._run_round()
        return self.isolation.is_isolated

    def _is_silent(self, now: float) -> bool:
        """Return whether requests wait while nothing arrives from any upstream."""
        views = self.pools.views.values()
        if not any(view.load.requests for view in views):
            self._busy_since = None
            return False
        if self._busy_since is None:
            self._busy_since = now
        return now - max(self._busy_since, self._answered_at()) > SILENCE_S

    def _answered_at(self) -> float:
        """Return when data last arrived from any upstream."""
        views = self.pools.views.values()
        return max((view.reachability.answered_at for view in views), default=0.0)

    async def _run_round(self) -> None:
        """Probe two upstreams, and the others only if both fail."""
        isolation = self.isolation
        isolation.begin_round(self.clock.now())
        views = self.pools.views.values()
        order = probe_order(views, isolation.failures, self.rng)
        is_open = await self._probe_any(order[:FIRST_PROBES])
        if not is_open:
            is_open = await self._probe_any(order[FIRST_PROBES:])
        self._known_at = isolation.round_began_at
        now = self.clock.now()
        unexplained = [view for view in order if not self.is_known_ended(view.id)]
        if isolation.end_round(0 if is_open else len(unexplained), now):
            log_event(
                "upstreams_lost",
                "WARNING",
                probed=" ".join(view.id for view in order),
                failures=len(isolation.failures),
                round_ms=round((now - isolation.round_began_at) * 1000),
                data_age_ms=_age_ms(self._answered_at(), now),
                connected_age_ms=_age_ms(isolation.connected_at, now),
                in_flight=sum(view.load.requests for view in views),
                isolated_peers=self.count_isolated_peers(),
            )

    async def _probe_any(self, views: list[UpstreamView]) -> bool:
        """Probe some upstreams together; return whether one accepted a connection."""
        has_opened = False

        async def probe(view: UpstreamView) -> None:
            nonlocal has_opened
            if await self._probe(view):
                has_opened = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for view in views:
                nursery.start_soon(probe, view)
        return has_opened

    async def _probe(self, view: UpstreamView) -> bool:
        """Return whether a connection opens; it is kept for requests."""
        try:
            await self.connections.open_idle(view.id, view.entry.address)
        except ExchangeError:  # recorded by `on_failed`
            return False
        return True

    async def _probe_next(self) -> None:
        """Probe one upstream, each in turn in random order."""
        views = self.pools.views
        self._order = [v for v in self._order if views.get(v.id) is v]
        if not self._order:
            self._order = [v for v in views.values() if not v.is_leaving]
            self.rng.shuffle(self._order)
        if self._order:
            await self._probe(self._order.pop())


def _age_ms(at: float, now: float) -> int | str:
    return "" if at in (0.0, float("-inf")) else round((now - at) * 1000)
