"""How many lines of one event may be logged."""

from buckthornwall.utils import Clock

__all__ = ["LineLimiter"]


class LineLimiter:
    """A token bucket for each kind of event, and a count of what it left out.

    Parameters
    ----------
    clock
        Source of time.
    lines_per_s
        Lines of one kind in a second, on average.
    burst
        Lines of one kind that may come at once.
    """

    def __init__(self, clock: Clock, lines_per_s: float, burst: float) -> None:
        self.clock = clock
        self.lines_per_s = lines_per_s
        self.burst = burst
        self._buckets: dict[str, tuple[float, float]] = {}
        self._suppressed: dict[str, int] = {}

    def allow(self, kind: str) -> bool:
        """Take a line of a kind, or count it as left out."""
        now = self.clock.now()
        tokens, at = self._buckets.get(kind, (self.burst, now))
        tokens = min(self.burst, tokens + (now - at) * self.lines_per_s)
        is_allowed = tokens >= 1
        self._buckets[kind] = (tokens - 1 if is_allowed else tokens, now)
        if not is_allowed:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
        return is_allowed

    def take_suppressed(self, kind: str) -> int:
        """Return how many lines of a kind were left out since the last time."""
        return self._suppressed.pop(kind, 0)
