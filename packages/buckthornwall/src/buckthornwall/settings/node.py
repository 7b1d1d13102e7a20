"""Identity and location of this instance."""

from buckthornwall.utils import ConfigItem, ConfigNamespace, RegionId, ZoneId

__all__ = ["NodeSettings"]


class NodeSettings(ConfigNamespace):
    """Identity and location of this instance."""

    section = "node"

    id = ConfigItem("", "Name of this instance, unique in the fleet.", required=True)
    zone = ConfigItem("", "Availability zone of this instance.", required=True)
    regions = ConfigItem(
        [],
        "Region of each availability zone, as zone=region; upstreams in zones that "
        "are not listed have no region.",
    )

    def region_by_zone(self) -> dict[ZoneId, RegionId]:
        """Return the region of each zone.

        Raises
        ------
        ValueError
            If an entry is not ``zone=region``.
        """
        found = {}
        for entry in self.regions:
            zone, _, region = entry.partition("=")
            if not zone or not region:
                raise ValueError(f"expected zone=region, got {entry!r}")
            found[ZoneId(zone)] = RegionId(region)
        return found
