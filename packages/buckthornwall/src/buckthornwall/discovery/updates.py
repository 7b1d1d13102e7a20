"""Changes as a source tells them."""

from dataclasses import dataclass, field
from typing import Protocol

from buckthornwall.pools import UpstreamEntry
from buckthornwall.utils import UpstreamId, ZoneId

__all__ = ["UpdateSource", "HistoryLost", "StoreUpdate"]


class HistoryLost(Exception):
    """The source no longer holds the changes that were asked for."""


@dataclass(slots=True)
class StoreUpdate:
    """What changed up to a revision.

    `is_snapshot` tells that everything there is stands here, so that what does not
    is gone. A watch from `revision` brings what changes later; `change_revision` is the
    revision of the newest change among these, which is lower where others wrote
    meanwhile. `published` is the operator's configuration as it was written.
    `evacuated` and `reopened` give the revisions of records on zones, and
    `unreadable_zones` those whose records cannot be read, which change nothing.
    """

    revision: int
    is_snapshot: bool
    change_revision: int = 0
    published: bytes | None = None
    entries: dict[UpstreamId, UpstreamEntry] = field(default_factory=dict)
    removed: set[UpstreamId] = field(default_factory=set)
    evacuated: dict[ZoneId, int] = field(default_factory=dict)
    reopened: dict[ZoneId, int] = field(default_factory=dict)
    unreadable_zones: set[ZoneId] = field(default_factory=set)


class UpdateSource(Protocol):
    """A source of news."""

    async def read_all(self) -> StoreUpdate:
        """Return everything there is.

        Raises
        ------
        PeerError
            If the source does not answer as it should.
        """

    async def watch(self, after: int, wait_s: float) -> StoreUpdate:
        """Return what changed after a revision, waiting for it if need be.

        Raises
        ------
        HistoryLost
            If those changes are no longer held.
        PeerError
            If the source does not answer as it should.
        """
