"""What an instance that was isolated forgets about upstreams."""

from collections.abc import Iterable

from buckthornwall.telemetry import log_event

from .view import UpstreamView

__all__ = ["forget_failures"]


def forget_failures(
    views: Iterable[UpstreamView], isolated_at: float, since: float, now: float
) -> None:
    """Forget the failures of an isolation that ends.

    Parameters
    ----------
    views
        All registered upstreams.
    isolated_at
        When the isolation was found, in seconds.
    since
        Time from which on failures of upstreams say nothing about them.
    now
        The time.
    """
    readmitted = 0
    for view in views:
        view.reachability.forget_since(since)
        readmitted += view.health.forget_since(since)
    log_event(
        "upstreams_regained",
        "WARNING",
        isolated_ms=round((now - isolated_at) * 1000),
        readmitted=readmitted,
    )
