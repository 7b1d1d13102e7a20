"""Who this instance is."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["NodeSettings"]


class NodeSettings(ConfigNamespace):
    """Who this instance is."""

    section = "node"

    id = ConfigItem("", "Name of this instance, unique in the fleet.", required=True)
    zone = ConfigItem("", "Availability zone of this instance.", required=True)
