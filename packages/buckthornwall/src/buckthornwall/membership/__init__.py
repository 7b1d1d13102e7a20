"""Membership: which instances are live, leaving or suspected."""

from buckthornwall.utils import lazy_exports

from .freeze import FreezeDetector

__all__ = [
    "FreezeDetector",
    "DelayEstimator",  # noqa: F822 - imported at its first use
    "Member",  # noqa: F822 - imported at its first use
    "MemberTable",  # noqa: F822 - imported at its first use
    "MembershipSettings",  # noqa: F822 - imported at its first use
]

__getattr__ = lazy_exports(
    __name__,
    {
        "DelayEstimator": "delay",
        "Member": "core",
        "MemberTable": "core",
        "MembershipSettings": "core",
    },
)
