"""Brittleness of all upstreams, reports on it, and shares of their slots."""

from collections import Counter
from collections.abc import Iterable

from buckthornwall.routing import PoolId
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, UpstreamId

from .brittleness import NOT_BRITTLE, Brittleness
from .limit_share import Fleet
from .rate_limit import LimitReports
from .slot_share import local_slots
from .view import UpstreamView

__all__ = ["BrittleUpstreams"]

# Seconds for which a pool counts as brittle after its last brittle upstream.
POOL_MEMORY_S = 10.0
# A pool with at most this share of its slots in use is idle.
MAX_IDLE_SHARE = 0.3


class BrittleUpstreams:
    """Brittleness of upstreams.

    Parameters
    ----------
    clock
        Source of time.
    views
        All upstreams by id, kept up to date by the caller.
    """

    def __init__(self, clock: Clock, views: dict[UpstreamId, UpstreamView]) -> None:
        self.clock = clock
        self.views = views
        self._brittle_at: dict[PoolId, float] = {}
        self._stated: set[UpstreamId] = set()
        self._fleet: Fleet | None = None
        self._report_age_s = 0.0

    def adopt(self, view: UpstreamView) -> None:
        """Take a new upstream of a pool with brittle ones for brittle."""
        now = self.clock.now()
        view.brittleness.first_seen_at = now
        if now - self._brittle_at.get(view.entry.pool, float("-inf")) < POOL_MEMORY_S:
            view.brittleness.assume(now)
            self._update_shares()

    def record(self, view: UpstreamView, per_s: float) -> None:
        """Record what an upstream states in a response."""
        before = view.brittleness.per_s
        if min(per_s, before) < NOT_BRITTLE:
            self._stated.add(view.id)
        if view.brittleness.record_answer(per_s, self.clock.now()):
            self._log(view, before, is_from_peer=False)
            self._update_shares()

    def receive(self, reports: LimitReports) -> None:
        """Record the reports of peers."""
        now = self.clock.now()
        changed = False
        for upstream, report in reports.items():
            view = self.views.get(upstream)
            if view is None:
                continue
            before = view.brittleness.per_s
            if view.brittleness.receive(report, now):
                self._log(view, before, is_from_peer=True)
                changed = True
        if changed:
            self._update_shares()

    def reports(self) -> LimitReports:
        """Return the reports for peers."""
        now = self.clock.now()
        self._stated &= self.views.keys()
        reports = {
            upstream: self.views[upstream].brittleness.report(now)
            for upstream in self._stated
        }
        return {each: report for each, report in reports.items() if report is not None}

    def update_shares(self, fleet: Fleet, report_age_s: float) -> None:
        """Update the shares of this instance in the slots of brittle upstreams.

        Parameters
        ----------
        fleet
            Recently live instances.
        report_age_s
            Age of the reports of the peers, in seconds.
        """
        self._fleet, self._report_age_s = fleet, report_age_s
        self._update_shares()

    def _update_shares(self) -> None:
        now = self.clock.now()
        brittle: dict[UpstreamId, Brittleness] = {}
        for view in self.views.values():
            state = view.brittleness
            if state.is_in_force(now):
                brittle[view.id] = state
                self._brittle_at[view.entry.pool] = now
                state.slots = max(0, view.entry.slots)
            else:
                state.forget_share()
        if self._fleet is None:
            return
        slots = [(upstream, state.slots) for upstream, state in brittle.items()]
        shares = local_slots(slots, self._fleet)
        extras = local_slots(
            [(f"{each}/extra", state.max_extra) for each, state in brittle.items()],
            self._fleet,
        )
        idle = self._idle_pools(brittle, now)
        for upstream, state in brittle.items():
            state.instances = self._fleet.instances
            state.report_age_s = self._report_age_s
            state.extra = extras[f"{upstream}/extra"]
            state.is_pool_idle = self.views[upstream].entry.pool in idle
            state.set_share(shares[upstream], now)

    def _idle_pools(self, brittle: Iterable[UpstreamId], now: float) -> set[PoolId]:
        """Return the pools most of whose brittle upstreams' slots are free."""
        slots: Counter[PoolId] = Counter()
        in_flight: Counter[PoolId] = Counter()
        for view in map(self.views.__getitem__, brittle):
            slots[view.entry.pool] += view.entry.slots
            in_flight[view.entry.pool] += view.load.in_flight(now)
        return {
            pool for pool in slots if in_flight[pool] < MAX_IDLE_SHARE * slots[pool]
        }

    def _log(self, view: UpstreamView, before: float, is_from_peer: bool) -> None:
        log_event(
            "upstream_brittle",
            "WARNING",
            upstream=view.id,
            value=view.brittleness.per_s,
            before=before,
            is_from_peer=is_from_peer,
            share=view.brittleness.share,
            slots=view.entry.slots,
        )
