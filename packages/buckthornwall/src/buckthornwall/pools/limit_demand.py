"""What an instance needs of its share of the rate limits.

An instance that hardly gets requests for limited upstreams cedes most of its share, and
one that gets more than its share allows may use what others cede. Both tell their peers
first, and raise what they send only once these have had time to lower theirs.
"""

import math
from collections import deque
from enum import IntEnum

__all__ = ["RETAINED_SHARE", "LimitDemand", "LimitNeed"]

# What an instance that cedes its share retains of it: as much as it may need until its
# requests show that it needs all.
RETAINED_SHARE = 0.25
# Its demand is compared with an equal share of the limits over this time, in seconds:
# as long as needed for this many requests, within the bounds.
MIN_WINDOW_S = 1.0
MAX_WINDOW_S = 3.0
WINDOW_REQUESTS = 24
# With fewer requests than this in an equal share, the demand is not known.
MIN_WINDOW_REQUESTS = 4
# Fractions of an equal share. An instance cedes below the first until it is at the
# second, and needs more at the fourth until it is below the third.
CEDE_BELOW = 0.15
KEEP_FROM = 0.25
KEEP_BELOW = 1.0
EXCEED_FROM = 1.3
# Time in which peers learn of a need and lower what they send.
PROPAGATION_S = 1.0
MAX_REQUESTS = 4096


class LimitNeed(IntEnum):
    """What an instance needs of its share of the rate limits."""

    LITTLE = 0  # it cedes the most of it
    SHARE = 1
    MORE = 2  # it uses what others cede


class LimitDemand:
    """Demand of this instance for upstreams with a rate limit.

    Attributes
    ----------
    need : LimitNeed
        What it needs of its share.
    needed_since : float
        When it last began to need more than before, in seconds.
    """

    def __init__(self) -> None:
        self.need = LimitNeed.SHARE
        self.needed_since = -math.inf
        self._limited_since: float | None = None
        self._arrivals: deque[float] = deque(maxlen=MAX_REQUESTS)

    def record_request(self, now: float) -> None:
        """Record a request to a pool all of whose upstreams have a limit."""
        self._arrivals.append(now)

    def update(self, equal_per_s: float, now: float) -> bool:
        """Compare the demand with an equal share; return whether the need changed.

        Parameters
        ----------
        equal_per_s
            The requests a second of all limits, divided by the instances.
        now
            The time in seconds.
        """
        while self._arrivals and now - self._arrivals[0] > MAX_WINDOW_S:
            self._arrivals.popleft()
        before = self.need
        self.need = self._current_need(equal_per_s, now)
        if self.need > before:
            self.needed_since = now
        return self.need is not before

    def _current_need(self, equal_per_s: float, now: float) -> LimitNeed:
        if equal_per_s * MAX_WINDOW_S < MIN_WINDOW_REQUESTS:
            self._limited_since = None
            return LimitNeed.SHARE
        if self._limited_since is None:
            self._limited_since = now
        window_s = min(MAX_WINDOW_S, max(MIN_WINDOW_S, WINDOW_REQUESTS / equal_per_s))
        if now - self._limited_since < window_s:
            return self.need
        requests = sum(1 for at in self._arrivals if now - at <= window_s)
        fraction = requests / (equal_per_s * window_s)
        if fraction < (KEEP_FROM if self.need is LimitNeed.LITTLE else CEDE_BELOW):
            return LimitNeed.LITTLE
        if fraction >= (KEEP_BELOW if self.need is LimitNeed.MORE else EXCEED_FROM):
            return LimitNeed.MORE
        return LimitNeed.SHARE

    def is_known_to_peers(self, now: float) -> bool:
        """Return whether peers have had time to learn of the current need."""
        return now - self.needed_since >= PROPAGATION_S
