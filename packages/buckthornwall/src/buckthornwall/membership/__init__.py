"""Which instances are live, leaving or suspected, and freezes of our own."""

from .core import Member, MembershipSettings, MemberTable
from .freeze import FreezeDetector
from .lease import LeaseClock

__all__ = [
    "FreezeDetector",
    "LeaseClock",
    "Member",
    "MemberTable",
    "MembershipSettings",
]
