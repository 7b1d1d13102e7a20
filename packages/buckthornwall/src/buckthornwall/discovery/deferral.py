"""Removals and reopenings that are not applied yet, since they may be undone."""

from buckthornwall.utils import StorePosition, UpstreamId, ZoneId

from .updates import StoreUpdate

__all__ = ["Deferral"]

# A registration that is missing this soon after an outage may have expired during it.
# A later removal was made by the upstream itself, and applies at once.
DEFER_REMOVALS_S = 0.5


class Deferral:
    """What follows only from records that are missing after an outage or a return.

    Their owners may write them again until the deferral ends. Times are in seconds.

    Attributes
    ----------
    removals, reopenings : dict
        Upstreams and zones without a record, and the positions of the store as of which
        it was missing.
    """

    def __init__(self) -> None:
        self.removals: dict[UpstreamId, StorePosition] = {}
        self.reopenings: dict[ZoneId, StorePosition] = {}
        self.ends_at = 0.0
        self._removals_until = 0.0
        self._snapshots_until = 0.0

    def begin(self, now: float, settle_s: float, is_new_era: bool) -> None:
        """Begin a deferral of `settle_s`.

        In a new era of the store, complete reads may lack records throughout it.
        """
        self._removals_until = now + DEFER_REMOVALS_S
        self.ends_at = now + settle_s
        if is_new_era:
            self._snapshots_until = self.ends_at

    def end(self, now: float) -> None:
        """End the deferral: what is missing now is gone."""
        self.ends_at = min(self.ends_at, now)
        self._removals_until = min(self._removals_until, now)
        self._snapshots_until = min(self._snapshots_until, now)

    def defers_removals(self, update: StoreUpdate, now: float) -> bool:
        """Return whether upstreams that an update lacks are kept for now.

        A peer that sends its view has deferred its own removals.
        """
        is_read = update.is_snapshot and not update.is_relayed
        return now < self._removals_until or (is_read and now < self._snapshots_until)

    def renew(self, upstream: UpstreamId, position: StorePosition) -> None:
        """Record that a registration was written, which undoes an earlier removal."""
        removed = self.removals.get(upstream)
        if removed is not None and position.is_after(removed):
            del self.removals[upstream]

    def defers_reopenings(self, now: float) -> bool:
        """Return whether zones without a record stay evacuated for now."""
        return now < self._snapshots_until

    @property
    def is_pending(self) -> bool:
        """Whether anything is deferred."""
        return bool(self.removals or self.reopenings)

    def left_s(self, now: float) -> float | None:
        """Return how long until something deferred applies, None if nothing is."""
        if not self.is_pending:
            return None
        return max(0.0, self.ends_at - now)

    def take_due(
        self, now: float
    ) -> tuple[dict[UpstreamId, StorePosition], dict[ZoneId, StorePosition]]:
        """Return and forget the removals and reopenings that apply now."""
        if now < self.ends_at:
            return {}, {}
        due = self.removals, self.reopenings
        self.removals, self.reopenings = {}, {}
        return due
