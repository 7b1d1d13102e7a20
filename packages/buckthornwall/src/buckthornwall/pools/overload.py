"""Decide whether a request is refused since its first token would come too late."""

from collections.abc import Iterable

from .view import UpstreamView

__all__ = [
    "is_hopeless",
    "is_late",
    "is_late_by_others",
    "is_loaded",
    "is_overloaded",
    "is_queueing_late",
    "retry_after_s",
]

# A request is refused if its first token is expected after this many targets.
MAX_TARGETS = 0.8
# At least this many targets of the expected time must be a wait for other requests;
# otherwise the longest prompts would be refused on every retry for their own prefill.
MIN_QUEUEING_TARGETS = 0.4
# A wait for others of this many targets leaves the prompts of a pool, on average, no
# time for their own prefill within `MAX_TARGETS`.
MAX_QUEUEING_TARGETS = 0.65
# Limit for a request with a deficit against less urgent ones that were admitted. Later
# than that its client may have disconnected.
MAX_TARGETS_WITH_DEFICIT = 3.0
# A pool with less of its slots in use is not overloaded, whatever one engine reports.
MIN_LOADED_SHARE = 0.5
# A refused request is retried after the requests ahead have been served, and half as
# many again that arrived meanwhile; earlier, it would meet the same overload.
RETRY_FACTOR = 1.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0


def is_late(expected_s: float, target_s: float) -> bool:
    """Return whether a first token is expected too late to admit the request."""
    return expected_s > MAX_TARGETS * target_s


def is_hopeless(expected_s: float, target_s: float) -> bool:
    """Return whether a request is too late to be admitted even with a deficit."""
    return expected_s > MAX_TARGETS_WITH_DEFICIT * target_s


def is_overloaded(
    expected_s: float,
    own_prefill_s: float,
    target_s: float,
    views: Iterable[UpstreamView],
    now: float,
) -> bool:
    """Return whether a request that is not urgent should be refused at once.

    Parameters
    ----------
    expected_s
        Expected time to its first token, in seconds.
    own_prefill_s
        Part of that for the prefill of its own prompt.
    target_s
        Target of the time to first token in its contract.
    views
        All engines of the pool.
    now
        The time in seconds.
    """
    is_queueing = is_queueing_late(expected_s, own_prefill_s, target_s)
    return is_queueing and is_loaded(views, now)


def is_late_by_others(expected_s: float, own_prefill_s: float, target_s: float) -> bool:
    """Return whether the wait for other requests alone leaves too little of a target.

    The length of the request itself plays no part: where much is refused, the longest
    prompts would otherwise be refused far more often than others.
    """
    return expected_s - own_prefill_s > MAX_QUEUEING_TARGETS * target_s


def is_queueing_late(expected_s: float, own_prefill_s: float, target_s: float) -> bool:
    """Return whether a first token is late, and that for a wait for other requests."""
    if not is_late(expected_s, target_s):
        return False
    return expected_s - own_prefill_s > MIN_QUEUEING_TARGETS * target_s


def is_loaded(views: Iterable[UpstreamView], now: float) -> bool:
    """Return whether requests are queued in a pool, or many of its slots in use."""
    views = list(views)
    if any(view.load.waiting(now) for view in views):
        return True
    slots = sum(view.entry.slots for view in views)
    in_use = sum(min(view.load.in_flight(now), view.entry.slots) for view in views)
    return in_use >= MIN_LOADED_SHARE * slots


def retry_after_s(expected_s: float) -> float:
    """Return after how many seconds a refused request should be retried."""
    return min(MAX_RETRY_S, max(MIN_RETRY_S, RETRY_FACTOR * expected_s))
