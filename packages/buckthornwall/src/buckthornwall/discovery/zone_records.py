"""Applies the records of evacuated and reopened zones."""

from buckthornwall.codes import ResultCode
from buckthornwall.pools import PoolTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import StorePosition, ZoneId

from .deferral import Deferral
from .updates import StoreUpdate

__all__ = ["adopt_zones", "reopen_zone"]


def adopt_zones(
    pools: PoolTable, deferral: Deferral, update: StoreUpdate, now: float
) -> None:
    """Apply the evacuation records of an update that are newer than the known ones."""
    for zone, position in update.evacuated.items():
        _evacuate(pools, zone, position)
    for zone, position in update.reopened.items():
        reopen_zone(pools, zone, position)
    if not update.is_snapshot:
        return
    present = update.evacuated.keys() | update.unreadable_zones
    for zone in pools.evacuations.absent(present):
        if deferral.defers_reopenings(now):
            deferral.reopenings[zone] = update.position
        else:
            reopen_zone(pools, zone, update.position)


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


def reopen_zone(pools: PoolTable, zone: ZoneId, position: StorePosition) -> None:
    """End the evacuation of a zone as of a position, unless there is a newer record.

    Its upstreams may have become cold meanwhile.
    """
    if pools.evacuations.record(zone, position, False):
        log_event(
            "zone_reopened",
            "WARNING",
            zone=zone,
            revision=position.revision,
            era=position.era,
        )
        pools.rate_limits.assume_cold(pools.in_zone(zone))
