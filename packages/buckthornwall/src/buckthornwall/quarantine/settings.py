"""Settings of the quarantine."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["QuarantineSettings"]


class QuarantineSettings(ConfigNamespace):
    """Settings of the quarantine of requests that crash upstreams."""

    section = "quarantine"

    crashes = ConfigItem(
        3,
        "Upstreams that crashed while they ran a request, with no successful run of "
        "it, after which the request is refused.",
        minimum=2,
    )
    part_crashes = ConfigItem(
        4,
        "Upstreams that crashed while serving a part of prompts, with no answer on it, "
        "after which requests with that part are refused.",
        minimum=3,
    )
    forget_s = ConfigItem(
        600.0,
        "Seconds without that request and without another crash after which it may "
        "run again; for a part of prompts, seconds since the last crash.",
        minimum=1,
    )
    most_requests = ConfigItem(
        1000, "Maximum requests and parts of prompts that are remembered.", minimum=1
    )
