"""Outlier ejection of upstreams that fail requests despite their health check.

An upstream is ejected when it cannot be reached, or when it fails clearly more of its
requests than the rest of its pool. It is readmitted by a probe: after an ejection time
that doubles, one request may be sent to it, and its outcome decides.
"""

from collections import deque
from enum import Enum

__all__ = ["Health", "Verdict", "median_failure_share"]

MAX_RESULTS = 20
MIN_RESULTS = 5  # fewer are not conclusive
RESULT_TTL_S = 6.0
EJECTION_FAILURE_SHARE = 0.3  # ejected above this ...
EJECTION_MARGIN = 0.15  # ... if also this much above the rest of the pool
BASE_EJECTION_S = 0.4
MAX_EJECTION_S = 4.0
PROBE_TIMEOUT_S = 3.0  # a probe without an outcome then allows another


class Verdict(Enum):
    """How an upstream handled one request."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


class Health:
    """Recent results and ejection state of one upstream; a pure state machine."""

    def __init__(self) -> None:
        self.results: deque[tuple[float, bool]] = deque(maxlen=MAX_RESULTS)
        self.ejection_s = 0.0
        self.ejected_at = 0.0
        self.ejected_until = 0.0
        self.probe_sent_at: float | None = None

    @property
    def ejected(self) -> bool:
        """Whether the upstream is ejected, with or without a probe under way."""
        return self.ejection_s > 0

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent to the upstream."""
        if not self.ejected:
            return True
        if now < self.ejected_until:
            return False
        return self.probe_sent_at is None or now - self.probe_sent_at > PROBE_TIMEOUT_S

    def record_sent(self, now: float) -> None:
        """Record a request that is sent; it is a probe if the upstream is ejected."""
        if self.ejected:
            self.probe_sent_at = now

    def failure_share(self, now: float) -> float:
        """Return the share of recent requests that failed, 0 to 1."""
        while self.results and now - self.results[0][0] > RESULT_TTL_S:
            self.results.popleft()
        if len(self.results) < MIN_RESULTS:
            return 0.0
        return sum(1 for _, failed in self.results if failed) / len(self.results)

    def record_outcome(
        self, verdict: Verdict, pool_failure_share: float, now: float
    ) -> bool:
        """Record the outcome of a request.

        Parameters
        ----------
        verdict
            How the upstream handled it.
        pool_failure_share
            Median share of failed requests of the other upstreams of the pool.
        now
            Time in seconds.

        Returns
        -------
        bool
            Whether this ejected or readmitted the upstream.
        """
        was_ejected = self.ejected
        failed = verdict is not Verdict.GOOD
        if was_ejected and not failed:
            self._readmit()
            return True
        self.results.append((now, failed))
        if was_ejected and failed:
            if now >= self.ejected_until:
                self._eject(now)
            return False
        if verdict is Verdict.UNREACHABLE:
            self._eject(now)
            return True
        share = self.failure_share(now)
        if failed and share > max(
            EJECTION_FAILURE_SHARE, pool_failure_share + EJECTION_MARGIN
        ):
            self._eject(now)
            return True
        return False

    def forget_since(self, since: float) -> bool:
        """Forget results from `since` on; return whether this readmitted it."""
        self.results = deque(
            (result for result in self.results if result[0] < since), MAX_RESULTS
        )
        if not self.ejected or self.ejected_at < since:
            return False
        self.ejection_s = 0.0
        self.probe_sent_at = None
        return True

    def _eject(self, now: float) -> None:
        if not self.ejected:
            self.ejected_at = now
        self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2 or BASE_EJECTION_S)
        self.ejected_until = now + self.ejection_s
        self.probe_sent_at = None

    def _readmit(self) -> None:
        self.results.clear()
        self.ejection_s = 0.0
        self.probe_sent_at = None


def median_failure_share(others: list[Health], now: float) -> float:
    """Return the median failure share of the other upstreams of a pool."""
    shares = sorted(other.failure_share(now) for other in others)
    return shares[len(shares) // 2] if shares else 0.0
