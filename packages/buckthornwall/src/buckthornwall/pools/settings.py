"""Settings of the decisions on pools under load."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["PoolSettings"]


class PoolSettings(ConfigNamespace):
    """Settings of the decisions on pools under load.

    Each of them is of no effect where a pool is not as it says, whatever its value.
    """

    section = "pools"

    stated_slowdown = ConfigItem(
        True, "Use how long work takes at an upstream, where upstreams state it."
    )
    engine_speeds = ConfigItem(
        True, "Learn the speed of each engine, where engines of a pool differ."
    )
    prefill_owners = ConfigItem(
        True,
        "Let one instance at a time prefill long prompts at an engine reserved for "
        "pause-sensitive streams, and reserve engines ahead of a jump of these, where "
        "many instances share a pool.",
    )
    prefill_admission = ConfigItem(
        True,
        "Refuse prompts by the expected wait for prefill, also while slots are free.",
    )
    team_shares = ConfigItem(
        True, "Refuse teams beyond their fair share first, where a pool is overloaded."
    )
    start_demand = ConfigItem(
        True,
        "Reserve engines for a stream of each instance, where many start together.",
    )
