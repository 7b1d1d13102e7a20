"""Conversion between the state in force and the views that instances exchange."""

from dataclasses import replace
from itertools import zip_longest

from buckthornwall.codes import RecordError
from buckthornwall.discovery import DiscoveryAgent, StoreUpdate
from buckthornwall.peers import PeerView
from buckthornwall.pools import UpstreamEntry, check_entry
from buckthornwall.telemetry import log_event
from buckthornwall.utils import StorePosition, UpstreamId

__all__ = ["make_view", "to_update"]


def make_view(discovery: DiscoveryAgent, now: float) -> PeerView:
    """Return the state in force, for a peer that requests it.

    Upstreams whose removals are deferred are in force, and the revision is one before
    these removals: the peer neither removes the upstreams nor misses their removals.
    """
    pools, positions = discovery.pools, discovery.state.positions
    era = discovery.position.era
    entries = [
        replace(view.entry, cold_s=view.cold_s(now)) for view in pools.views.values()
    ]
    at = [positions.registrations.get(entry.id, positions.change) for entry in entries]
    evacuated = pools.evacuations.zones()
    return PeerView(
        _revision_in(era, positions.complete),
        positions.change.revision,
        discovery.raw_config,
        entries,
        {zone: position.revision for zone, position in evacuated.items()},
        era,
        {zone: position.era for zone, position in evacuated.items()},
        pools.versions.history(),
        [position.revision for position in at],
        {
            entry.id: position.era
            for entry, position in zip(entries, at, strict=True)
            if position.era != era
        },
        positions.removal_revision,
        positions.known.revision,
        {name: _revision_in(era, at) for name, at in positions.deferred.items()},
    )


def _revision_in(era: int, position: StorePosition) -> int:
    """Return the revision of a position, 0 if it is of a former era."""
    return 0 if position.is_in_former_era(StorePosition(era)) else position.revision


def to_update(view: PeerView, peer: str) -> StoreUpdate:
    """Return the update that a peer's view amounts to."""
    return StoreUpdate(
        revision=view.revision,
        is_snapshot=True,
        change_revision=view.change_revision,
        published=view.published or None,
        entries={entry.id: entry for entry in _usable(view, peer)},
        evacuated={
            zone: StorePosition(view.evacuated_eras.get(zone, view.store_era), revision)
            for zone, revision in view.evacuated.items()
        },
        era=view.store_era,
        is_relayed=True,
        versions=view.versions,
        positions=_entry_positions(view),
        removal_revision=view.removal_revision,
        known_revision=view.known_revision,
        deferred={
            upstream: StorePosition(view.store_era, revision)
            for upstream, revision in view.deferred.items()
        },
    )


def _entry_positions(view: PeerView) -> dict[UpstreamId, StorePosition]:
    """Return the positions of entries, the newest change's where one is missing."""
    positions = {}
    for entry, revision in zip_longest(
        view.entries, view.entry_revisions[: len(view.entries)]
    ):
        known = view.change_revision if revision is None else revision
        era = view.entry_eras.get(entry.id, view.store_era)
        positions[entry.id] = StorePosition(era, known)
    return positions


def _usable(view: PeerView, peer: str) -> list[UpstreamEntry]:
    """Return the entries of a view that name upstreams, without the others."""
    usable = []
    for entry in view.entries:
        try:
            check_entry(entry)
        except RecordError as error:
            log_event(
                "registration_refused",
                "WARNING",
                upstream=entry.id,
                peer=peer,
                code=error.code.number,
                detail=error,
            )
        else:
            usable.append(entry)
    return usable
