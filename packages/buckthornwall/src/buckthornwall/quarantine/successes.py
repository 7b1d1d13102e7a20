"""Recent successful runs of requests."""

from collections import OrderedDict

from .fingerprint import Fingerprint

__all__ = ["RecentSuccesses"]


class RecentSuccesses:
    """Times of the newest successful runs, by fingerprint and pool.

    Parameters
    ----------
    max_entries
        Number of runs that are kept.
    ttl_s
        Seconds for which a successful run counts.
    """

    def __init__(self, max_entries: int, ttl_s: float) -> None:
        self.max_entries = max_entries
        self.ttl_s = ttl_s
        self._succeeded_at: OrderedDict[tuple[Fingerprint, int], float] = OrderedDict()

    def record(self, fingerprint: Fingerprint, pool: int, now: float) -> None:
        """Record a successful run."""
        self._succeeded_at[fingerprint, pool] = now
        self._succeeded_at.move_to_end((fingerprint, pool))
        if len(self._succeeded_at) > self.max_entries:
            self._succeeded_at.popitem(last=False)

    def includes(self, fingerprint: Fingerprint, pool: int, now: float) -> bool:
        """Return whether a request recently ran successfully in a pool."""
        at = self._succeeded_at.get((fingerprint, pool))
        return at is not None and now - at <= self.ttl_s
