"""Settings of the quarantine."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["QuarantineSettings"]


class QuarantineSettings(ConfigNamespace):
    """Settings of the quarantine of requests that crash upstreams."""

    section = "quarantine"

    crashes = ConfigItem(
        3,
        "Upstreams that ended beneath a request, without a run that went well, after "
        "which it is refused.",
        minimum=2,
    )
    forget_s = ConfigItem(
        600.0,
        "Seconds without that request, or without another crash, after which it may "
        "run again.",
        minimum=1,
    )
    most_requests = ConfigItem(
        1000, "Requests that are kept in memory at most.", minimum=1
    )
