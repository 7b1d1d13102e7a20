"""Settings of idempotent calls."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["IdempotencySettings"]


class IdempotencySettings(ConfigNamespace):
    """Settings of idempotent calls."""

    section = "idempotency"

    keys_kept = ConfigItem(
        5000, "Used keys that an instance remembers.", minimum=1, maximum=100_000
    )
    forward_repeat_s = ConfigItem(
        0.5,
        "Seconds after which a call is forwarded again to the owner of its key.",
        minimum=0.05,
    )
    owner_patience_s = ConfigItem(
        2.0, "Maximum seconds to wait for a link to a key's owner.", minimum=0.1
    )
    hand_over_s = ConfigItem(
        5.0, "Seconds that a stopping owner tries to transfer its keys.", minimum=0.1
    )
