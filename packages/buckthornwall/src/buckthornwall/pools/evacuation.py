"""Evacuated availability zones.

An instance receives the operator's records from its own watch, from its own complete
reads and from its peers, and each of these sources may lag behind another. The record
with the highest position in the store's history is in force for a zone, so an old
snapshot undoes nothing.
"""

from collections.abc import Container
from dataclasses import dataclass

from buckthornwall.utils import StorePosition, ZoneId

__all__ = ["Evacuations"]


@dataclass(frozen=True, slots=True)
class _Status:
    position: StorePosition
    is_evacuated: bool


class Evacuations:
    """The newest record of each zone."""

    def __init__(self) -> None:
        self._newest: dict[ZoneId, _Status] = {}

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Return whether upstreams of a zone get no new requests."""
        status = self._newest.get(zone)
        return status is not None and status.is_evacuated

    def zones(self) -> dict[ZoneId, StorePosition]:
        """Return the evacuated zones with the positions of their records."""
        return {
            zone: status.position
            for zone, status in self._newest.items()
            if status.is_evacuated
        }

    def record(self, zone: ZoneId, position: StorePosition, is_evacuated: bool) -> bool:
        """Record a newer status of a zone; return whether `is_evacuated` changed."""
        before = self._newest.get(zone)
        if before is not None and position.in_era(before.position.era) <= (
            before.position
        ):
            return False
        self._newest[zone] = _Status(position, is_evacuated)
        return is_evacuated != (before is not None and before.is_evacuated)

    def absent(self, present: Container[ZoneId]) -> list[ZoneId]:
        """Return the evacuated zones without a record among `present`."""
        return [zone for zone in self.zones() if zone not in present]

    def record_absent(
        self, present: Container[ZoneId], position: StorePosition
    ) -> list[ZoneId]:
        """End the evacuation of all zones without a record in a snapshot.

        Parameters
        ----------
        present
            Zones with a record, including records that cannot be read.
        position
            Position of the store as of the snapshot.

        Returns
        -------
        list
            Zones whose evacuation has ended.
        """
        return [
            zone for zone in self.absent(present) if self.record(zone, position, False)
        ]
