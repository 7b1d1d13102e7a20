"""Which instances are live, leaving or suspected."""

from buckthornwall.utils import lazy_exports

from .freeze import FreezeDetector

__all__ = [
    "FreezeDetector",
    "LeaseClock",  # noqa: F822 - imported at its first use
    "Member",  # noqa: F822 - imported at its first use
    "MemberTable",  # noqa: F822 - imported at its first use
    "MembershipSettings",  # noqa: F822 - imported at its first use
]

__getattr__ = lazy_exports(
    __name__,
    {
        "LeaseClock": "lease",
        "Member": "core",
        "MemberTable": "core",
        "MembershipSettings": "core",
    },
)
