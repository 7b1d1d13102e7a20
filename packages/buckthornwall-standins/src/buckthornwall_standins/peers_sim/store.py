"""The records of the simulated store, with the revisions at which they were written."""

from dataclasses import dataclass, field

from buckthornwall.discovery import StoreUpdate
from buckthornwall.pools import UpstreamEntry
from buckthornwall.utils import StorePosition, UpstreamId, ZoneId

__all__ = ["SimStore"]


@dataclass
class SimStore:
    """What the store holds at some time.

    Attributes
    ----------
    position
        The store's position.
    published_number, published_revision
        Number of the configuration, and the revision at which it was written.
    entries, cold_until
        Registered upstreams, and the times in seconds until which they are cold.
    removed
        Revisions at which registrations were removed.
    evacuated, reopened
        Positions of the changes by which zones were evacuated or reopened.
    """

    position: StorePosition = StorePosition(1, 1)
    published_number: int = 1
    published_revision: int = 1
    entries: dict[UpstreamId, UpstreamEntry] = field(default_factory=dict)
    cold_until: dict[UpstreamId, float] = field(default_factory=dict)
    removed: dict[UpstreamId, int] = field(default_factory=dict)
    evacuated: dict[ZoneId, StorePosition] = field(default_factory=dict)
    reopened: dict[ZoneId, StorePosition] = field(default_factory=dict)
    _written: dict[UpstreamId, tuple[int, tuple]] = field(default_factory=dict)

    def copy(self) -> "SimStore":
        """Return a copy to which the store may return."""
        self._record_written()
        return SimStore(
            self.position,
            self.published_number,
            self.published_revision,
            dict(self.entries),
            dict(self.cold_until),
            dict(self.removed),
            dict(self.evacuated),
            dict(self.reopened),
            dict(self._written),
        )

    def read_all(self) -> StoreUpdate:
        """Return all records; nothing stands for those that were removed."""
        update = self._changes_after(0)
        update.is_snapshot = True
        update.removed, update.reopened = set(), {}
        update.change_revision = max(
            self.published_revision,
            *(self._written[name][0] for name in self.entries),
            *(position.revision for position in self.evacuated.values()),
            0,
        )
        return update

    def changes_after(self, revision: int) -> StoreUpdate:
        """Return the changes after a revision."""
        update = self._changes_after(revision)
        positions = (*update.positions.values(), *update.evacuated.values())
        positions += tuple(update.reopened.values())
        revisions = [position.revision for position in positions]
        if update.published is not None:
            revisions.append(self.published_revision)
        update.change_revision = max(revisions, default=0)
        return update

    def _changes_after(self, revision: int) -> StoreUpdate:
        self._record_written()
        written = {name: at for name, (at, _) in self._written.items() if at > revision}
        removed = {name: at for name, at in self.removed.items() if at > revision}
        era = self.position.era
        is_published = self.published_revision > revision
        return StoreUpdate(
            self.position.revision,
            is_snapshot=False,
            published=b"%d" % self.published_number if is_published else None,
            entries={name: self.entries[name] for name in written},
            removed=set(removed),
            evacuated=_after(self.evacuated, revision),
            reopened=_after(self.reopened, revision),
            era=era,
            positions={
                name: StorePosition(era, at) for name, at in (removed | written).items()
            },
        )

    def _record_written(self) -> None:
        """Take registrations that were added or replaced as written by now."""
        for name, entry in self.entries.items():
            record = (entry, self.cold_until.get(name))
            if name not in self._written or self._written[name][1] != record:
                self._written[name] = (self.position.revision, record)
                self.removed.pop(name, None)
        for name in self._written.keys() - self.entries.keys():
            del self._written[name]


def _after(
    records: dict[ZoneId, StorePosition], revision: int
) -> dict[ZoneId, StorePosition]:
    return {
        zone: position
        for zone, position in records.items()
        if position.revision > revision
    }
