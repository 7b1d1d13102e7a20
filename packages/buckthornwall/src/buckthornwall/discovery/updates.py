"""Updates of the store, and the protocol of their source."""

from dataclasses import dataclass, field
from typing import Protocol

from buckthornwall.pools import UpstreamEntry, VersionHistory
from buckthornwall.utils import StorePosition, UpstreamId, ZoneId

__all__ = ["UpdateSource", "HistoryLost", "StoreUpdate"]


class HistoryLost(Exception):
    """The source no longer holds the requested changes, or has lost some of them."""


@dataclass(slots=True)
class StoreUpdate:
    """Changes up to a revision, or a snapshot.

    A snapshot is complete: an upstream or zone record that it does not contain has
    been removed.

    Attributes
    ----------
    revision
        The revision from which the next watch continues.
    is_snapshot
        Whether this is a snapshot.
    change_revision
        Revision of the newest change contained here. It is lower than `revision` if
        other keys were written in the meantime.
    published
        The operator's configuration, as it was written.
    entries, removed
        Upstreams that are registered, and those that have been removed.
    evacuated, reopened
        The positions of the records of evacuated and of reopened zones.
    unreadable_zones
        Zones whose records cannot be decoded; their state does not change.
    era
        Era of the store that counts the revisions; 0 if it is not known.
    is_relayed
        Whether this is the view of a peer, which may be older than what is known.
    versions
        Software versions that the peer knows; None if it does not say.
    positions
        Positions of the changes in `entries` and `removed`, `change_position` where one
        is missing.
    removal_revision
        Of a view: revision up to which all removals are in force at the peer.
    known_revision
        Of a view: revision up to which all changes are in force at the peer, but those
        in `deferred`. None if that is `revision`.
    deferred
        Of a view: upstreams whose removals are deferred, and the positions up to which
        their changes are in force.
    """

    revision: int
    is_snapshot: bool
    change_revision: int = 0
    published: bytes | None = None
    entries: dict[UpstreamId, UpstreamEntry] = field(default_factory=dict)
    removed: set[UpstreamId] = field(default_factory=set)
    evacuated: dict[ZoneId, StorePosition] = field(default_factory=dict)
    reopened: dict[ZoneId, StorePosition] = field(default_factory=dict)
    unreadable_zones: set[ZoneId] = field(default_factory=set)
    era: int = 0
    is_relayed: bool = False
    versions: VersionHistory | None = None
    positions: dict[UpstreamId, StorePosition] = field(default_factory=dict)
    removal_revision: int = 0
    known_revision: int | None = None
    deferred: dict[UpstreamId, StorePosition] = field(default_factory=dict)

    @property
    def position(self) -> StorePosition:
        """The position from which the next watch continues."""
        return StorePosition(self.era, self.revision)

    @property
    def change_position(self) -> StorePosition:
        """The position of the newest change contained here."""
        return StorePosition(self.era, self.change_revision)

    @property
    def known_position(self) -> StorePosition:
        """The position as of which a snapshot lacks what was removed."""
        if self.known_revision is None:
            return self.position
        return StorePosition(self.era, self.known_revision)

    def known_of(self, upstream: UpstreamId) -> StorePosition:
        """Return the position as of which a snapshot lacks an upstream's removals."""
        return self.deferred.get(upstream, self.known_position)

    def position_of(self, upstream: UpstreamId) -> StorePosition:
        """Return the position of the change of an upstream's registration."""
        return self.positions.get(upstream, self.change_position)


class UpdateSource(Protocol):
    """A source of updates."""

    async def read_all(self) -> StoreUpdate:
        """Return a snapshot.

        Raises
        ------
        PeerError
            If the source does not answer, or not as expected.
        """

    async def watch(self, after: StorePosition, wait_s: float) -> StoreUpdate:
        """Return the changes after a position, waiting up to `wait_s` for one.

        Raises
        ------
        HistoryLost
            If the source no longer holds those changes, or is in a later era.
        PeerError
            If the source does not answer, or not as expected.
        """
