"""The view that an instance sends of the state in force there."""

import msgspec

from buckthornwall.pools import UpstreamEntry, VersionHistory
from buckthornwall.utils import Revision, UpstreamId, ZoneId

__all__ = ["PeerView"]


class PeerView(msgspec.Struct, array_like=True):
    """The state in force at an instance.

    Attributes
    ----------
    revision
        All changes up to here are in force; a watch from here returns the others.
    change_revision
        Revision of the newest change.
    published
        The configuration, or b'' if the client has it already.
    evacuated
        Evacuated zones, with the revisions of their records.
    store_era
        Era of the store that counts the revisions; 0 if it is not known.
    evacuated_eras
        Eras that count the revisions in `evacuated`, by zone.
    versions
        Software versions of upstreams, now and recently; None if not known.
    entry_revisions
        Revisions of `entries`, in their order; empty from an earlier build.
    entry_eras
        Eras that count these revisions, where they differ from `store_era`.
    removal_revision
        Revision up to which all removals are in force.
    known_revision
        Revision up to which all changes are in force, but those in `deferred`; None
        from an earlier build.
    deferred
        Upstreams whose removals are deferred, and the revisions up to which their
        changes are in force; 0 if that was in a former era.
    """

    revision: Revision
    change_revision: Revision
    published: bytes
    entries: list[UpstreamEntry]
    evacuated: dict[ZoneId, Revision] = {}
    store_era: Revision = 0
    evacuated_eras: dict[ZoneId, Revision] = {}
    versions: VersionHistory | None = None
    entry_revisions: list[Revision] = []
    entry_eras: dict[UpstreamId, Revision] = {}
    removal_revision: Revision = 0
    known_revision: Revision | None = None
    deferred: dict[UpstreamId, Revision] = {}
