"""Rate limits of all upstreams, reports on them, and shares of instances."""

from collections.abc import Iterable

from buckthornwall.routing import Pool, PoolId
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, UpstreamId, hash_fraction

from .limit_demand import RETAINED_SHARE, LimitDemand, LimitNeed
from .limit_share import Fleet, LimitUsers, UpstreamLimit, local_rates
from .rate_limit import UNLIMITED, LimitReports
from .view import UpstreamView

__all__ = ["RateLimits"]


class RateLimits:
    """Rate limits of upstreams.

    Parameters
    ----------
    clock
        Source of time.
    views
        All upstreams by id, kept up to date by the caller.

    Attributes
    ----------
    demand : LimitDemand
        What this instance needs of its share of the advertised limits.
    """

    def __init__(self, clock: Clock, views: dict[UpstreamId, UpstreamView]) -> None:
        self.clock = clock
        self.views = views
        self.demand = LimitDemand()
        self._pools: dict[PoolId, Pool] = {}
        self._stated: set[UpstreamId] = set()

    # Advertised limits

    def record(self, view: UpstreamView, per_s: float) -> None:
        """Record the requests a second that an upstream advertises in a response."""
        before = view.rate_limit.per_s
        if min(per_s, before) < UNLIMITED:
            self._stated.add(view.id)
        if view.rate_limit.record_answer(per_s, self.clock.now()):
            _log_limit(view, before, is_from_peer=False)

    def receive(self, reports: LimitReports) -> None:
        """Record the reports of peers on advertised limits."""
        now = self.clock.now()
        for upstream, report in reports.items():
            view = self.views.get(upstream)
            if view is None:
                continue
            before = view.rate_limit.per_s
            if view.rate_limit.receive(report, now):
                _log_limit(view, before, is_from_peer=True)

    def reports(self) -> LimitReports:
        """Return the reports on advertised limits for peers."""
        now = self.clock.now()
        self._stated &= self.views.keys()
        reports = {
            upstream: self.views[upstream].rate_limit.report(now)
            for upstream in self._stated
        }
        return {each: report for each, report in reports.items() if report is not None}

    # Cold upstreams

    def set_pools(self, pools: Iterable[Pool]) -> None:
        """Apply the limits for cold upstreams of a new configuration version."""
        self._pools = {pool.id: pool for pool in pools}
        for view in self.views.values():
            self._set_cold_rate(view)

    def adopt(self, view: UpstreamView) -> None:
        """Apply the remaining cold start of an upstream's registration."""
        self._set_cold_rate(view)
        if view.entry.cold_s:
            self._mark_cold(view, view.entry.cold_s)

    def assume_cold(self, views: Iterable[UpstreamView]) -> None:
        """Treat upstreams as cold that start, or that get requests again.

        Their own report of it may arrive late.
        """
        for view in views:
            pool = self._pools.get(view.entry.pool)
            if pool is not None and pool.cold_per_s:
                self._mark_cold(view, pool.cold_s)

    def _set_cold_rate(self, view: UpstreamView) -> None:
        pool = self._pools.get(view.entry.pool)
        is_unlimited = pool is None or not pool.cold_per_s
        view.rate_limit.cold_per_s = UNLIMITED if is_unlimited else pool.cold_per_s

    def _mark_cold(self, view: UpstreamView, seconds: float) -> None:
        """Mark an upstream as cold for a number of seconds from now."""
        now = self.clock.now()
        was_cold = view.rate_limit.is_cold(now)
        view.rate_limit.mark_cold(now + seconds, now)
        if view.rate_limit.is_cold(now) and not was_cold:
            log_event(
                "upstream_cold",
                upstream=view.id,
                seconds=round(seconds, 3),
                per_s=view.rate_limit.cold_per_s,
            )

    # Shares of this instance

    def update_shares(
        self,
        live: Fleet,
        recent: Fleet,
        users: LimitUsers | None = None,
        ceding: int = 0,
    ) -> None:
        """Update the shares of this instance in the limits of upstreams.

        Parameters
        ----------
        live
            Live instances, which share advertised limits.
        recent
            Recently live instances, including those out of contact, which share the
            limits of cold upstreams.
        users
            The instances that need more than their shares.
        ceding
            The number of instances that cede most of theirs.
        """
        now = self.clock.now()
        rates = self._advertised_rates(live, users or {}, ceding, now)
        for upstream, rate in self._cold_rates(recent, now).items():
            rates[upstream] = min(rate, rates.get(upstream, rate))
        for upstream, rate in rates.items():
            initial_tokens = hash_fraction(f"{live.address}/{upstream}")
            self.views[upstream].rate_limit.set_share(rate, now, initial_tokens)

    def _advertised_rates(
        self, fleet: Fleet, users: LimitUsers, ceding: int, now: float
    ) -> dict[UpstreamId, float]:
        """Return the shares in advertised limits, with what is ceded of them."""
        limits = [
            UpstreamLimit(
                view.id, view.rate_limit.per_s, now - view.rate_limit.advertised_at
            )
            for view in self.views.values()
            if view.rate_limit.advertises_limit
        ]
        equal_per_s = sum(limit.per_s for limit in limits) / max(1, fleet.instances)
        if self.demand.update(equal_per_s, now):
            log_event(
                "limit_need",
                need=self.demand.need.name,
                equal_per_s=round(equal_per_s, 2),
                instances=fleet.instances,
                ceding=ceding,
            )
        rates = local_rates(limits, fleet)
        is_known = self.demand.is_known_to_peers(now)
        if self.demand.need is LimitNeed.MORE and is_known and users:
            ceded = (1 - RETAINED_SHARE) * min(1.0, ceding / max(1, fleet.instances))
            extra = local_rates(limits, fleet.restrict(users))
            return {each: rate + ceded * extra[each] for each, rate in rates.items()}
        is_ceded = self.demand.need is LimitNeed.LITTLE or not is_known
        if users and is_ceded and self.demand.need is not LimitNeed.MORE:
            return {each: RETAINED_SHARE * rate for each, rate in rates.items()}
        return rates

    def _cold_rates(self, fleet: Fleet, now: float) -> dict[UpstreamId, float]:
        """Return the shares at cold upstreams, computed for each one alone.

        Instances briefly differ in which other upstreams they know to be cold.
        """
        rates: dict[UpstreamId, float] = {}
        for view in self.views.values():
            if view.rate_limit.is_cold(now):
                limit = UpstreamLimit(view.id, view.rate_limit.cold_per_s, 0.0)
                rates |= local_rates([limit], fleet)
        return rates


def _log_limit(view: UpstreamView, before: float, is_from_peer: bool) -> None:
    log_event(
        "upstream_limit",
        "WARNING",
        upstream=view.id,
        per_s=view.rate_limit.per_s,
        before=before,
        told=is_from_peer,
    )
