"""Settings of scheduling."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["SchedulingSettings"]


class SchedulingSettings(ConfigNamespace):
    """Times of the exchange between an entry and a pool's scheduler."""

    section = "scheduling"

    grant_valid_s = ConfigItem(
        1.0, "Seconds for which a grant may be taken up.", minimum=0.05
    )
    urgent_ack_s = ConfigItem(
        0.1,
        "Seconds without a word from the scheduler after which an urgent request "
        "is decided by its own entry.",
        minimum=0.005,
    )
    repeat_s = ConfigItem(
        0.5, "Seconds after which an unanswered request is sent again.", minimum=0.05
    )
    holdings_s = ConfigItem(
        0.5, "Seconds between reports of the slots in use.", minimum=0.1
    )
    support_s = ConfigItem(
        2.0,
        "Seconds for which a report leaves an entry's part to a scheduler.",
        minimum=0.5,
    )
    support_margin_s = ConfigItem(
        0.25,
        "Seconds that an entry waits beyond that before it uses its part "
        "elsewhere: more than a message may be under way.",
        minimum=0.0,
    )
    tick_s = ConfigItem(
        0.05, "Seconds between looks at deadlines.", minimum=0.005, maximum=0.5
    )
    load_poll_s = ConfigItem(
        1.0, "Seconds between reads of an engine's load.", minimum=0.1
    )
