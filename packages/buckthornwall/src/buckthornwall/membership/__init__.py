"""Which instances are live, leaving or suspected, and freezes of our own."""

from .core import Member, MembershipSettings, MemberTable
from .freeze import FreezeDetector

__all__ = ["FreezeDetector", "Member", "MemberTable", "MembershipSettings"]
