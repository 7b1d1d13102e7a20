"""Settings of scheduling."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["SchedulingSettings"]


class SchedulingSettings(ConfigNamespace):
    """Intervals and timeouts between an entry instance and a pool's scheduler.

    The entry instance of a request is the one that received it from the client.
    """

    section = "scheduling"

    grant_valid_s = ConfigItem(
        1.0, "Seconds for which a grant may be accepted.", minimum=0.05
    )
    urgent_ack_s = ConfigItem(
        0.1,
        "Seconds without an answer from the scheduler after which the entry "
        "instance schedules an urgent request itself.",
        minimum=0.005,
    )
    repeat_s = ConfigItem(
        0.5, "Seconds after which an unacknowledged request is resent.", minimum=0.05
    )
    holdings_s = ConfigItem(
        0.5, "Seconds between reports of the slots in use to a scheduler.", minimum=0.1
    )
    support_s = ConfigItem(
        2.0,
        "Seconds for which a report leases an instance's share of a pool to a "
        "scheduler.",
        minimum=0.5,
    )
    support_margin_s = ConfigItem(
        0.25,
        "Seconds that an instance waits after the end of a lease before it uses its "
        "share elsewhere; longer than any message is in transit.",
        minimum=0.0,
    )
    tick_s = ConfigItem(
        0.05, "Seconds between checks of deadlines.", minimum=0.005, maximum=0.5
    )
    load_poll_s = ConfigItem(
        1.0, "Seconds between polls of an engine's load.", minimum=0.1
    )
