"""A rate limit for log lines."""

from buckthornwall.utils import Clock

__all__ = ["LineLimiter"]


class LineLimiter:
    """A token bucket for each kind of line, and a count of the suppressed lines.

    Parameters
    ----------
    clock
        Source of time.
    lines_per_s
        Maximum average rate of the lines of one kind.
    burst
        Maximum lines of one kind at once.
    """

    def __init__(self, clock: Clock, lines_per_s: float, burst: float) -> None:
        self.clock = clock
        self.lines_per_s = lines_per_s
        self.burst = burst
        self._buckets: dict[str, tuple[float, float]] = {}
        self._suppressed: dict[str, int] = {}

    def allow(self, kind: str) -> bool:
        """Return whether a line of a kind may be logged; count it if it may not."""
        now = self.clock.now()
        tokens, filled_at = self._buckets.get(kind, (self.burst, now))
        tokens = min(self.burst, tokens + (now - filled_at) * self.lines_per_s)
        allowed = tokens >= 1
        self._buckets[kind] = (tokens - 1 if allowed else tokens, now)
        if not allowed:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
        return allowed

    def take_suppressed(self, kind: str) -> int:
        """Return how many lines of a kind were suppressed since the last call."""
        return self._suppressed.pop(kind, 0)
