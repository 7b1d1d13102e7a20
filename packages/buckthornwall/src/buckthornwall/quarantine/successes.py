"""Requests that lately ran well."""

from collections import OrderedDict

from .fingerprint import Fingerprint

__all__ = ["RecentSuccesses"]


class RecentSuccesses:
    """When requests last ran well, by fingerprint and pool; the newest of them.

    Parameters
    ----------
    most
        How many are kept.
    lasting_s
        Seconds for which a run that went well counts.
    """

    def __init__(self, most: int, lasting_s: float) -> None:
        self.most = most
        self.lasting_s = lasting_s
        self._at: OrderedDict[tuple[Fingerprint, int], float] = OrderedDict()

    def note(self, fingerprint: Fingerprint, pool: int, now: float) -> None:
        """Record a run that went well."""
        self._at[fingerprint, pool] = now
        self._at.move_to_end((fingerprint, pool))
        if len(self._at) > self.most:
            self._at.popitem(last=False)

    def includes(self, fingerprint: Fingerprint, pool: int, now: float) -> bool:
        """Tell whether a request lately ran well in a pool."""
        at = self._at.get((fingerprint, pool))
        return at is not None and now - at <= self.lasting_s
