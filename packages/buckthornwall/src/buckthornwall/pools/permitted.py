"""The upstreams of a pool that a request may be sent to, whatever their state."""

from collections.abc import Mapping
from dataclasses import dataclass

from buckthornwall.utils import RegionId, SoftwareVersion, ZoneId

from .entry import UpstreamEntry

__all__ = ["ANY_UPSTREAM", "Permitted"]


@dataclass(frozen=True, slots=True)
class Permitted:
    """The regions and software versions that a request may go to; None is any."""

    regions: frozenset[RegionId] | None = None
    versions: frozenset[SoftwareVersion] | None = None

    def include(
        self, entry: UpstreamEntry, region_by_zone: Mapping[ZoneId, RegionId]
    ) -> bool:
        """Return whether an upstream is among them."""
        if self.versions is not None and entry.version not in self.versions:
            return False
        return self.regions is None or region_by_zone.get(entry.zone) in self.regions


ANY_UPSTREAM = Permitted()
