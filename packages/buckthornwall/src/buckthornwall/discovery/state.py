"""The registrations and evacuations in force, merged from updates."""

from collections.abc import Callable, Iterable

from buckthornwall.pools import PoolTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, StorePosition, UpstreamId

from .checksum import UNKNOWN_CHECKSUM, state_checksum
from .deferral import Deferral
from .positions import StatePositions
from .restoration import reconcile_registration
from .updates import StoreUpdate
from .zone_records import adopt_zones, reopen_zone

__all__ = ["StateInForce"]


class StateInForce:
    """Merges the registrations and evacuations of the store's answers and of peers.

    Parameters
    ----------
    settle_s
        How long after an outage or a return of the store its records may be written
        again, in seconds.
    pools
        The upstreams to keep up to date.
    clock
        Source of time.

    Attributes
    ----------
    positions : StatePositions
        Up to where in the store's history this state is complete.
    deferral : Deferral
        What is not applied yet.
    checksum : int
        Checksum of this state, `UNKNOWN_CHECKSUM` before the first update.
    on_removed, on_restart : callable
        Called with each upstream that was removed, or has restarted under its id.
    """

    def __init__(self, settle_s: float, pools: PoolTable, clock: Clock) -> None:
        self.settle_s = settle_s
        self.pools = pools
        self.clock = clock
        self.positions = StatePositions()
        self.deferral = Deferral()
        self.checksum = UNKNOWN_CHECKSUM
        self.on_removed: Callable[[UpstreamId], None] = lambda upstream: None
        self.on_restart: Callable[[UpstreamId], None] = lambda upstream: None

    @property
    def has_merged(self) -> bool:
        """Whether there has been an update."""
        return self.checksum != UNKNOWN_CHECKSUM

    def merge(self, update: StoreUpdate) -> bool:
        """Merge an update; return whether the store has returned from an older copy."""
        is_restored = False
        if not self._is_of_former_era(update):
            is_restored = self._merge(update)
        self.update_checksum()
        return is_restored

    def _merge(self, update: StoreUpdate) -> bool:
        before = self.positions.read
        is_restored = self.has_merged and before.is_in_former_era(update.position)
        if is_restored:
            self._begin_era(update)
        if update.is_relayed:
            self.pools.versions.merge(update.versions)
        self.positions.rewind(update)
        self._adopt_entries(update, is_restored)
        if is_restored or (update.is_snapshot and not update.is_relayed):
            self.pools.versions.begin_history()
        removed = self._adopt_removals(update)
        known, now = self.positions.known, self.clock.now()
        removed += adopt_zones(self.pools, self.deferral, update, known, now)
        if update.is_relayed and self._lacks_records_of(update):
            removed.append(known)
        self.positions.advance(update, self.deferral.removals)
        self._record_in_force(update, known, removed)
        return is_restored

    def _is_of_former_era(self, update: StoreUpdate) -> bool:
        """Return whether an update was made before the store's last return."""
        if not update.position.is_in_former_era(self.positions.read):
            return False
        log_event(
            "update_outdated",
            "WARNING",
            era=update.era,
            revision=update.revision,
            known_era=self.positions.read.era,
        )
        return True

    def _lacks_records_of(self, update: StoreUpdate) -> bool:
        """Return whether a peer holds records that are known to be removed here."""
        return bool(
            update.entries.keys() - self.positions.registrations.keys()
            or update.evacuated.keys() - self.pools.evacuations.zones().keys()
        )

    def _record_in_force(
        self, update: StoreUpdate, before: StorePosition, removed: list[StorePosition]
    ) -> None:
        """Record up to which position the changes of an update are in force."""
        if self.deferral.reopenings:
            self.positions.defer_reopenings(before)
        self.positions.record_change(update.change_position)
        self.positions.record_removals(removed)
        if update.is_relayed:
            self.positions.adopt_peer(update)
        elif update.is_snapshot:
            # What was registered and removed since the last read has left no trace.
            self.positions.record_removals([update.position])

    def _begin_era(self, update: StoreUpdate) -> None:
        """Defer what follows from the lack of records that the store may have lost."""
        log_event(
            "store_restored",
            "WARNING",
            era=update.era,
            revision=update.revision,
            before=self.positions.read.era,
            revision_before=self.positions.read.revision,
            is_from_peer=update.is_relayed,
        )
        self.deferral.begin(self.clock.now(), self.settle_s, is_new_era=True)

    def begin_deferral(self, seconds: float) -> None:
        """Defer removals that may only follow from an outage of the store."""
        self.deferral.begin(self.clock.now(), seconds, is_new_era=False)

    def _adopt_entries(self, update: StoreUpdate, is_restored: bool) -> None:
        """Apply registrations, and assume new upstreams to be cold.

        The first update is an exception: its upstreams need not have just started.
        """
        started = set()
        for entry in update.entries.values():
            if self.positions.is_in_force(update, entry.id):
                continue
            self.deferral.renew(entry.id, update.position_of(entry.id))
            if is_restored:
                entry = reconcile_registration(self.pools, entry)
            if entry.id not in self.pools.views:
                started.add(entry.id)
            if self.pools.adopt(entry):
                started.add(entry.id)
                self.on_restart(entry.id)
            self.positions.registrations[entry.id] = update.position_of(entry.id)
        if self.has_merged:
            self.pools.rate_limits.assume_cold(
                self.pools.views[name] for name in started
            )

    def _adopt_removals(self, update: StoreUpdate) -> list[StorePosition]:
        """Remove upstreams, or defer it where their registrations may be renewed.

        What is missing in a snapshot of the store may be missing since before its
        return, however late the snapshot is read; a removal was made after it.

        Returns
        -------
        list
            Positions of the removals that now are in force.
        """
        removals = self.positions.removed_by(update)
        if self.deferral.defers_removals(update, self.clock.now()):
            self.deferral.removals |= removals
            return []
        if not update.is_relayed:
            # The answer repeats what the deferral is about.
            for upstream in self.deferral.removals:
                removals.pop(upstream, None)
        self._remove(removals)
        return list(removals.values())

    def remove_deferred(self) -> None:
        """Apply what was not written again in time after an outage or a return."""
        removals, reopenings = self.deferral.take_due(self.clock.now())
        if not removals and not reopenings:
            return
        self._remove(removals)
        for zone, position in reopenings.items():
            reopen_zone(self.pools, zone, position)
        self.positions.end_deferral()
        self.update_checksum()

    def update_checksum(self) -> None:
        """Compute the checksum of what is in force now."""
        entries = [view.entry for view in self.pools.views.values()]
        self.checksum = state_checksum(entries, self.pools.evacuations.zones())

    def _remove(self, removals: Iterable[UpstreamId]) -> None:
        for upstream in removals:
            self.pools.remove(upstream)
            self.positions.remove(upstream)
            self.deferral.removals.pop(upstream, None)
            self.on_removed(upstream)
