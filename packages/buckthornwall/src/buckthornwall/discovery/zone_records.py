"""Applies the records of evacuated and reopened zones."""

from buckthornwall.codes import ResultCode
from buckthornwall.pools import PoolTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import StorePosition, ZoneId

from .deferral import Deferral
from .updates import StoreUpdate

__all__ = ["adopt_zones", "reopen_zone"]


def adopt_zones(
    pools: PoolTable,
    deferral: Deferral,
    update: StoreUpdate,
    known_to: StorePosition,
    now: float,
) -> list[StorePosition]:
    """Apply the evacuation records of an update that are newer than the known ones.

    Parameters
    ----------
    pools, deferral
        What the records apply to, and what is not applied yet.
    update
        The update.
    known_to
        Position up to which every change is known here.
    now
        The time in seconds.

    Returns
    -------
    list
        Positions of the removals of records that now are in force.
    """
    for zone, position in update.evacuated.items():
        is_removed = update.is_relayed and not position.is_after(known_to)
        if pools.evacuations.is_evacuated(zone) or not is_removed:
            _evacuate(pools, zone, position)
    reopened = dict(update.reopened)
    if update.is_snapshot:
        present = update.evacuated.keys() | update.unreadable_zones
        missing = dict.fromkeys(
            pools.evacuations.absent(present), update.known_position
        )
        if deferral.defers_reopenings(now):
            deferral.reopenings |= missing
        else:
            reopened |= missing
    return [
        position
        for zone, position in reopened.items()
        if reopen_zone(pools, zone, position)
    ]


def _evacuate(pools: PoolTable, zone: ZoneId, position: StorePosition) -> None:
    """Record the evacuation of a zone, unless there is a newer record."""
    if not pools.knows_zone(zone):
        log_event(
            "evacuation_refused",
            "WARNING",
            zone=zone,
            revision=position.revision,
            code=ResultCode.RECORD_INVALID.number,
            detail="unknown zone",
        )
    elif pools.evacuations.record(zone, position, True):
        log_event(
            "zone_evacuated",
            "WARNING",
            zone=zone,
            revision=position.revision,
            era=position.era,
        )


def reopen_zone(pools: PoolTable, zone: ZoneId, position: StorePosition) -> bool:
    """End the evacuation of a zone as of a position, unless there is a newer record.

    Its upstreams may have become cold meanwhile. Returns whether it was evacuated.
    """
    if not pools.evacuations.record(zone, position, False):
        return False
    log_event(
        "zone_reopened",
        "WARNING",
        zone=zone,
        revision=position.revision,
        era=position.era,
    )
    pools.rate_limits.assume_cold(pools.in_zone(zone))
    return True
