"""Settings of attempts at upstreams."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["ForwardingSettings"]


class ForwardingSettings(ConfigNamespace):
    """Settings of attempts at upstreams."""

    section = "forwarding"

    connect_timeout_ms = ConfigItem(
        250.0, "Maximum milliseconds to connect to an upstream.", minimum=1
    )
    once_idle_ms = ConfigItem(
        1000.0,
        "Maximum milliseconds that a connection may have been idle to carry a call "
        "that may not be repeated.",
        minimum=0,
    )
    most_upstreams = ConfigItem(
        4, "Maximum upstreams that a request is sent to.", minimum=1
    )
    retry_ratio = ConfigItem(
        0.2, "Retries for each request to a pool, over the fleet.", minimum=0
    )
    retry_reserve = ConfigItem(
        20.0, "Additional retries in one window, over the fleet.", minimum=0
    )
