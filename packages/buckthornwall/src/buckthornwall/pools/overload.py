"""Whether to refuse a request at once because it would come far too late."""

from collections.abc import Iterable

from .view import UpstreamView

__all__ = ["is_hopeless", "is_late", "is_loaded", "is_overloaded", "retry_after_s"]

# A request is refused when its first token is expected after this many targets.
MAX_TARGETS = 0.8
# It is not refused for its own length: that much of the target must be a wait for
# others, or the longest prompts would be sent away as often as they came.
MIN_QUEUEING_TARGETS = 0.4
# A request that less urgent ones were let in before is taken until it is expected after
# so many targets; its caller may have left by then.
MAX_TARGETS_WITH_DEFICIT = 3.0
# A pool of which less is in use is not overloaded, whatever one engine says.
MIN_LOADED_SHARE = 0.5
# Who is refused comes back when what is ahead has been served, and half as much again
# that came meanwhile; sooner, he would come into the same overload. Retries are bounded
# in seconds.
RETRY_FACTOR = 1.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0


def is_late(expected_s: float, target_s: float) -> bool:
    """Tell whether a first token is expected too late to take a request for it."""
    return expected_s > MAX_TARGETS * target_s


def is_hopeless(expected_s: float, target_s: float) -> bool:
    """Tell whether a request comes too late to be taken before less urgent ones."""
    return expected_s > MAX_TARGETS_WITH_DEFICIT * target_s


def is_overloaded(
    expected_s: float,
    own_prefill_s: float,
    target_s: float,
    views: Iterable[UpstreamView],
    now: float,
) -> bool:
    """Tell whether a request that is not urgent should be refused at once.

    Parameters
    ----------
    expected_s
        When its first token is expected, in seconds.
    own_prefill_s
        How much of that its own prompt takes to be read.
    target_s
        When its contract wants it.
    views
        All engines of the pool.
    now
        The time in seconds.
    """
    if not is_late(expected_s, target_s):
        return False
    if expected_s - own_prefill_s <= MIN_QUEUEING_TARGETS * target_s:
        return False
    return is_loaded(views, now)


def is_loaded(views: Iterable[UpstreamView], now: float) -> bool:
    """Tell whether requests wait in a pool, or much of it is in use."""
    views = list(views)
    if any(view.load.waiting(now) for view in views):
        return True
    slots = sum(view.entry.slots for view in views)
    in_use = sum(min(view.load.in_flight(now), view.entry.slots) for view in views)
    return in_use >= MIN_LOADED_SHARE * slots


def retry_after_s(expected_s: float) -> float:
    """Return when a refused request should come back, in seconds."""
    return min(MAX_RETRY_S, max(MIN_RETRY_S, RETRY_FACTOR * expected_s))
