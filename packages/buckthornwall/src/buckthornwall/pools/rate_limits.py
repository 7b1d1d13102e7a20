"""The rate limits of all upstreams: what is known of them, and what is shared."""

from collections.abc import Iterable

from buckthornwall.routing import Pool, PoolId
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, UpstreamId, hash_share

from .limit_share import Fleet, UpstreamLimit, local_rates
from .rate_limit import UNLIMITED, LimitReports
from .view import UpstreamView

__all__ = ["RateLimits"]


class RateLimits:
    """What upstreams take in a second.

    Parameters
    ----------
    clock
        Source of time.
    views
        All upstreams, kept up to date by their owner.
    """

    def __init__(self, clock: Clock, views: dict[UpstreamId, UpstreamView]) -> None:
        self.clock = clock
        self.views = views
        self._pools: dict[PoolId, Pool] = {}

    # Limits that upstreams name

    def record(self, view: UpstreamView, per_s: float) -> None:
        """Take the requests a second that an upstream names in an answer."""
        before = view.rate_limit.per_s
        if view.rate_limit.record_answer(per_s, self.clock.now()):
            _log_limit(view, before, is_from_peer=False)

    def receive(self, reports: LimitReports) -> None:
        """Take what other instances know of the limits that upstreams name."""
        now = self.clock.now()
        for upstream, report in reports.items():
            view = self.views.get(upstream)
            if view is None:
                continue
            before = view.rate_limit.per_s
            if view.rate_limit.receive(report, now):
                _log_limit(view, before, is_from_peer=True)

    def reports(self) -> LimitReports:
        """Return what others are told of the limits that upstreams name."""
        now = self.clock.now()
        reports = {view.id: view.rate_limit.report(now) for view in self.views.values()}
        return {each: report for each, report in reports.items() if report is not None}

    # Cold upstreams

    def set_pools(self, pools: Iterable[Pool]) -> None:
        """Take what a new version says of cold upstreams."""
        self._pools = {pool.id: pool for pool in pools}
        for view in self.views.values():
            self._set_cold_rate(view)

    def adopt(self, view: UpstreamView) -> None:
        """Take what an upstream's registration says of its being cold."""
        self._set_cold_rate(view)
        if view.entry.cold_s:
            self._mark_cold(view, view.entry.cold_s)

    def assume_cold(self, views: Iterable[UpstreamView]) -> None:
        """Take upstreams to be cold that start, or that get requests again.

        Their own report of it may come late.
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
        """Take an upstream to be cold from now on, for so many seconds."""
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

    # What this instance may send

    def update_shares(self, live: Fleet, recent: Fleet) -> None:
        """Find the part of this instance in what upstreams take.

        Parameters
        ----------
        live
            Who is live; they share what upstreams name.
        recent
            Who was live lately, those out of touch too; they share what cold upstreams
            bear.
        """
        now = self.clock.now()
        rates = self._advertised_rates(live, now)
        for upstream, rate in self._cold_rates(recent, now).items():
            rates[upstream] = min(rate, rates.get(upstream, rate))
        for upstream, rate in rates.items():
            first_token = hash_share(f"{live.address}/{upstream}")
            self.views[upstream].rate_limit.set_share(rate, now, first_token)

    def _advertised_rates(self, fleet: Fleet, now: float) -> dict[UpstreamId, float]:
        limits = [
            UpstreamLimit(
                view.id, view.rate_limit.per_s, now - view.rate_limit.advertised_at
            )
            for view in self.views.values()
            if view.rate_limit.advertises_limit
        ]
        return local_rates(limits, fleet)

    def _cold_rates(self, fleet: Fleet, now: float) -> dict[UpstreamId, float]:
        """Return the parts at cold upstreams, found one by one.

        Instances differ for a moment in which others they know to be cold.
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
