"""Positions of the records in force, by which instances merge their states.

The store orders all changes. An instance that knows every change up to a position takes
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
        The position up to which every change is in force, but those in `deferred`.
    deferred : dict
        Upstreams whose removals this instance has deferred, or a peer that it followed,
        and the positions up to which their changes are in force.
    change : StorePosition
        The newest change that is in force or deferred.
    removal : StorePosition
        A position up to which all removals are in force. It rises with those that do
        not raise `change`, as they were deferred or are seen as missing records.
    """

    def __init__(self) -> None:
        self.registrations: dict[UpstreamId, StorePosition] = {}
        self.read = StorePosition()
        self.known = StorePosition()
        self.deferred: dict[UpstreamId, StorePosition] = {}
        self.change = StorePosition()
        self.removal = StorePosition()
        self._before_reopenings: StorePosition | None = None

    @property
    def complete(self) -> StorePosition:
        """The position up to which every change is in force, and none is deferred."""
        floor = self._before_reopenings or self.known
        return min(self.known, floor, *self.deferred.values())

    def known_of(self, upstream: UpstreamId) -> StorePosition:
        """Return the position up to which the changes of an upstream are in force."""
        return self.deferred.get(upstream, self.known)

    def is_in_force(self, update: StoreUpdate, upstream: UpstreamId) -> bool:
        """Return whether a registration of an update, or a later change, is in force.

        The store's own answers are only compared with registrations: an upstream that
        it lists is registered.
        """
        position = update.position_of(upstream)
        known = self.registrations.get(upstream)
        if not update.is_relayed:
            return known is not None and known.is_after(position)
        return not position.is_after(known or self.known_of(upstream))

    def removed_by(self, update: StoreUpdate) -> dict[UpstreamId, StorePosition]:
        """Return the upstreams in force that an update removes, as of which position.

        What is missing in a snapshot was removed before it, or registered after it.
        """
        as_of = {upstream: update.position_of(upstream) for upstream in update.removed}
        if update.is_snapshot:
            missing = self.registrations.keys() - update.entries.keys()
            as_of = {name: update.known_of(name) for name in missing} | as_of
        return {
            upstream: position
            for upstream, position in as_of.items()
            if upstream in self.registrations
            and not self.registrations[upstream].is_after(position)
        }

    def advance(self, update: StoreUpdate, removals: Iterable[UpstreamId]) -> None:
        """Record up to where the store was read by this instance or by a peer.

        Parameters
        ----------
        update
            The update.
        removals
            Upstreams whose removals are deferred here.
        """
        era = self.read.era
        position = update.position.in_era(era)
        # A complete read gives the store's position even if it names no era.
        is_read = update.is_snapshot and not update.is_relayed
        self.read = position if is_read else max(self.read, position)
        known = max(self.known, update.known_position.in_era(era), self.read)
        if not update.is_relayed:
            deferred = {name: self.known_of(name) for name in removals}
        else:
            named = self.deferred.keys() | update.deferred.keys() | set(removals)
            deferred = {name: self._merge_known(update, name) for name in named}
            deferred |= {name: self.known_of(name) for name in removals}
        self.known = known
        self.deferred = {
            name: position
            for name, position in deferred.items()
            if known.is_after(position)
        }

    def _merge_known(self, update: StoreUpdate, upstream: UpstreamId) -> StorePosition:
        peers = update.known_of(upstream).in_era(self.read.era)
        return max(self.known_of(upstream), peers)

    def rewind(self, update: StoreUpdate) -> None:
        """Forget newer positions if a store without eras returns from an older copy."""
        position = update.position
        if update.is_relayed or not update.is_snapshot or position.era:
            return
        for upstream, known in self.registrations.items():
            if not known.era and known > position:
                self.registrations[upstream] = position

    def defer_reopenings(self, before: StorePosition) -> None:
        """Record that zones are not reopened yet that were evacuated at a position."""
        self._before_reopenings = self._before_reopenings or before

    def remove(self, upstream: UpstreamId) -> None:
        """Record that the removal of an upstream is in force."""
        self.registrations.pop(upstream, None)
        self.deferred.pop(upstream, None)

    def end_deferral(self) -> None:
        """Record that this instance defers nothing: its last read is in force."""
        self._before_reopenings = None
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
