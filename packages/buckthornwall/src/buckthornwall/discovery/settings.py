"""Settings of the watch on the store."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["DiscoverySettings"]


class DiscoverySettings(ConfigNamespace):
    """Settings of the watch on the platform's store."""

    section = "discovery"

    apply_ms = ConfigItem(
        2000.0,
        "Milliseconds from the store's acknowledgement of a change in which it must be "
        "in force everywhere. The lower, the more often the store is called.",
        minimum=1,
    )
    watch_ms = ConfigItem(
        1500.0,
        "Maximum milliseconds that a watch waits for a change; shorter as `apply_ms` "
        "requires.",
        minimum=50,
    )
    gap_ms = ConfigItem(
        300.0,
        "Milliseconds between two watches, so that one call returns the changes of "
        "several upstreams.",
        minimum=0,
    )
    outage_ms = ConfigItem(
        500.0, "Milliseconds without an answer that count as an outage.", minimum=1
    )
    settle_ms = ConfigItem(
        2200.0,
        "Milliseconds after an outage during which missing registrations are not "
        "removed yet, since they may be renewed.",
        minimum=0,
    )
