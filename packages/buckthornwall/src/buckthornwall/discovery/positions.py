"""Positions of the records in force, by which instances merge their states.

The store orders all changes. An instance that holds every change up to a position takes
a registration of that position or an earlier one, which it does not have, as removed.
Removed registrations thus need not be remembered, and merging is right in any order.
"""

from collections.abc import Iterable

from buckthornwall.utils import StorePosition, UpstreamId

from .updates import StoreUpdate

__all__ = ["StatePositions"]


class StatePositions:
    """Up to where in the store's history the state in force here is complete.

    Attributes
    ----------
    registrations : dict
        Positions of the registrations in force.
    read : StorePosition
        The position from which the next watch continues.
    known : StorePosition
        The position up to which every change is in force, but for removals that this
        instance or the peers that it followed have deferred: these upstreams are held.
    change : StorePosition
        The newest change in force.
    removal : StorePosition
        A position up to which all removals are in force. It rises with those that do
        not raise `change`, as they were deferred or are seen as missing records.
    """

    def __init__(self) -> None:
        self.registrations: dict[UpstreamId, StorePosition] = {}
        self.read = StorePosition()
        self.known = StorePosition()
        self.change = StorePosition()
        self.removal = StorePosition()
        self._complete: StorePosition | None = None

    @property
    def complete(self) -> StorePosition:
        """The position up to which every change is in force, and none is deferred."""
        return self.read if self._complete is None else self._complete

    def is_in_force(self, update: StoreUpdate, upstream: UpstreamId) -> bool:
        """Return whether a registration of an update, or a later change, is in force.

        The store's own answers are only compared with registrations: an upstream that
        it lists is registered.
        """
        position = update.position_of(upstream)
        known = self.registrations.get(upstream)
        if not update.is_relayed:
            return known is not None and known.is_after(position)
        return not position.is_after(known or self.known)

    def removed_by(self, update: StoreUpdate) -> dict[UpstreamId, StorePosition]:
        """Return the upstreams in force that an update removes, as of which position.

        What is missing in a snapshot was removed before it, or registered after it.
        """
        as_of = {upstream: update.position_of(upstream) for upstream in update.removed}
        if update.is_snapshot:
            missing = self.registrations.keys() - update.entries.keys()
            as_of = dict.fromkeys(missing, update.known_position) | as_of
        return {
            upstream: position
            for upstream, position in as_of.items()
            if upstream in self.registrations
            and not self.registrations[upstream].is_after(position)
        }

    def advance(self, update: StoreUpdate) -> None:
        """Record up to where the store was read by this instance or by a peer."""
        era = self.read.era
        position = update.position.in_era(era)
        # A complete read gives the store's position even if it names no era.
        is_read = update.is_snapshot and not update.is_relayed
        self.read = position if is_read else max(self.read, position)
        known = update.known_position.in_era(era)
        self.known = max(self.known, known, self.read)
        if self._complete is not None and self._complete.is_in_former_era(self.read):
            self._complete = StorePosition(self.read.era)

    def rewind(self, update: StoreUpdate) -> None:
        """Forget newer positions if a store without eras returns from an older copy."""
        position = update.position
        if update.is_relayed or not update.is_snapshot or position.era:
            return
        for upstream, known in self.registrations.items():
            if not known.era and known > position:
                self.registrations[upstream] = position

    def hold(self, before: StorePosition) -> None:
        """Record that removals after `before` are not in force yet."""
        if self._complete is None:
            is_former = before.is_in_former_era(self.read)
            self._complete = StorePosition(self.read.era) if is_former else before

    def release(self) -> None:
        """Record that all changes up to the last read are in force."""
        if self._complete is not None:
            self._complete = None
            self.record_removals([self.read])

    def record_change(self, position: StorePosition) -> None:
        """Record that a change is in force."""
        self.change = max(self.change, position.in_era(self.change.era))

    def record_removals(self, positions: Iterable[StorePosition]) -> None:
        """Record removals in force; `removal` rises up to `complete` at most."""
        newest = max(positions, default=None)
        if newest is not None:
            self.record_change(newest)
            self._raise_removal(newest)

    def _raise_removal(self, position: StorePosition) -> None:
        if position.is_after(self.complete):
            position = self.complete
        self.removal = max(self.removal, position.in_era(self.removal.era))

    def adopt_peer(self, update: StoreUpdate) -> None:
        """Record that what a peer has in force is in force here, or deferred."""
        self.record_change(update.change_position)
        self._raise_removal(StorePosition(update.era, update.removal_revision))

    @property
    def removal_revision(self) -> int:
        """Revision of `removal` in the era of `change`, 0 if it is of a former era."""
        if self.removal.is_in_former_era(self.change):
            return 0
        return self.removal.revision
