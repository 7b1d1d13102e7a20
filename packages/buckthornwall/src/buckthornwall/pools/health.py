"""Which upstreams fail requests, whatever their health check says.

An upstream is set aside when it cannot be reached, or when it fails clearly
more of its requests than the rest of its pool. It comes back by trial: after
a pause that doubles, one request may go there, and its end decides.
"""

from collections import deque
from enum import Enum

__all__ = ["Health", "Verdict"]

WINDOW = 20  # results that are looked at
LEAST_RESULTS = 5  # fewer say nothing
MEMORY_S = 6.0  # older results say nothing
FAILING_SHARE = 0.3  # set aside above this ...
ABOVE_POOL = 0.15  # ... and this much above the rest of the pool
FIRST_PAUSE_S = 0.4
LONGEST_PAUSE_S = 4.0
PROBE_LIMIT_S = 3.0  # a trial without an end frees the place for another


class Verdict(Enum):
    """How an upstream handled one request."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


class Health:
    """The recent results of one upstream; a pure state machine."""

    def __init__(self) -> None:
        self.results: deque[tuple[float, bool]] = deque(maxlen=WINDOW)
        self.pause_s = 0.0
        self.ejected_until = 0.0
        self.probe_at: float | None = None

    @property
    def ejected(self) -> bool:
        """Whether it is set aside, be it for a trial or not."""
        return self.pause_s > 0

    def may_try(self, now: float) -> bool:
        """Tell whether a request may go there."""
        if not self.ejected:
            return True
        if now < self.ejected_until:
            return False
        return self.probe_at is None or now - self.probe_at > PROBE_LIMIT_S

    def note_sent(self, now: float) -> None:
        """Count a request that goes there; it is a trial if set aside."""
        if self.ejected:
            self.probe_at = now

    def failing_share(self, now: float) -> float:
        """Return the share of recent requests that failed, 0 to 1."""
        while self.results and now - self.results[0][0] > MEMORY_S:
            self.results.popleft()
        if len(self.results) < LEAST_RESULTS:
            return 0.0
        return sum(1 for _, bad in self.results if bad) / len(self.results)

    def note(self, verdict: Verdict, pool_share: float, now: float) -> bool:
        """Take the end of a request.

        Parameters
        ----------
        verdict
            How it ended.
        pool_share
            The share of failed requests in the rest of the pool.
        now
            The time in seconds.

        Returns
        -------
        bool
            Whether the upstream was set aside or came back by it.
        """
        was_ejected = self.ejected
        bad = verdict is not Verdict.GOOD
        if was_ejected and not bad:
            self._come_back()
            return True
        self.results.append((now, bad))
        if was_ejected and bad:
            if now >= self.ejected_until:
                self._eject(now)
            return False
        if verdict is Verdict.UNREACHABLE:
            self._eject(now)
            return True
        share = self.failing_share(now)
        if bad and share > max(FAILING_SHARE, pool_share + ABOVE_POOL):
            self._eject(now)
            return True
        return False

    def _eject(self, now: float) -> None:
        self.pause_s = min(LONGEST_PAUSE_S, self.pause_s * 2 or FIRST_PAUSE_S)
        self.ejected_until = now + self.pause_s
        self.probe_at = None

    def _come_back(self) -> None:
        self.results.clear()
        self.pause_s = 0.0
        self.probe_at = None
