"""Whether to refuse a request at once because its engine is too far behind."""

from collections.abc import Iterable

from .placement import Choice
from .table import UpstreamView

__all__ = ["is_overloaded", "retry_after_s"]

# Seconds of unread prompts ahead at the chosen engine, by tier, above which a
# request is refused. The most urgent tier is never refused for what lies ahead.
MOST_AHEAD_S = {1: 0.4}
MOST_AHEAD_LOWER_S = 0.15
URGENT_TIER = 0
# A pool of which less is in use is not overloaded, whatever one engine says.
IDLE_SHARE = 0.5
LEAST_RETRY_S = 0.1
MOST_RETRY_S = 2.0


def is_overloaded(
    choice: Choice, own_s: float, tier: int, views: Iterable[UpstreamView], now: float
) -> bool:
    """Tell whether a request of a tier should be refused at once.

    Parameters
    ----------
    choice
        The best engine, and the time until the first token there.
    own_s
        The part of that time that its own prompt takes.
    tier
        Its tier; 0 is the most urgent.
    views
        All engines of the pool.
    now
        The time in seconds.
    """
    if tier <= URGENT_TIER:
        return False
    ahead_s = choice.wait_s - own_s
    if ahead_s <= MOST_AHEAD_S.get(tier, MOST_AHEAD_LOWER_S):
        return False
    views = list(views)
    slots = sum(view.entry.slots for view in views)
    in_use = sum(min(view.load.in_flight(now), view.entry.slots) for view in views)
    return in_use >= IDLE_SHARE * slots


def retry_after_s(choice: Choice) -> float:
    """Return when the engine will have read what lies ahead, in seconds."""
    return min(MOST_RETRY_S, max(LEAST_RETRY_S, choice.wait_s))
