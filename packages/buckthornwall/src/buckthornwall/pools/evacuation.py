"""Which availability zones are evacuated.

The operator's records reach an instance by several ways: its own watch, its own
complete reads, and other instances, each of which may be behind another. The newest
record on a zone holds, by its revision, so that an old snapshot undoes nothing.
"""

from dataclasses import dataclass

from buckthornwall.utils import ZoneId

__all__ = ["Evacuations"]


@dataclass(frozen=True, slots=True)
class _Status:
    revision: int
    is_evacuated: bool


class Evacuations:
    """The newest record on each zone."""

    def __init__(self) -> None:
        self._newest: dict[ZoneId, _Status] = {}

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Tell whether upstreams of a zone get no new requests."""
        status = self._newest.get(zone)
        return status is not None and status.is_evacuated

    def zones(self) -> dict[ZoneId, int]:
        """Return the evacuated zones, and the revisions of their records."""
        return {
            zone: status.revision
            for zone, status in self._newest.items()
            if status.is_evacuated
        }

    def record(self, zone: ZoneId, revision: int, is_evacuated: bool) -> bool:
        """Record what is newer than known; tell whether it changes anything."""
        before = self._newest.get(zone)
        if before is not None and revision <= before.revision:
            return False
        self._newest[zone] = _Status(revision, is_evacuated)
        return is_evacuated != (before is not None and before.is_evacuated)

    def record_absent(
        self, present: set[ZoneId] | dict[ZoneId, int], revision: int
    ) -> list[ZoneId]:
        """Record a snapshot's evacuated zones: all others are not.

        Parameters
        ----------
        present
            Zones with a record, whether it can be read or not.
        revision
            That of the store as of the snapshot.

        Returns
        -------
        list
            Zones whose evacuation has ended.
        """
        return [
            zone
            for zone in self.zones()
            if zone not in present and self.record(zone, revision, False)
        ]
