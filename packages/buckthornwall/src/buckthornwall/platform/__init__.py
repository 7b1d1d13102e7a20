"""Client of the platform's services, which are only read and watched."""

from .client import (
    InstanceKind,
    InstanceList,
    ListedInstance,
    PlatformClient,
    PlatformSettings,
)

__all__ = [
    "InstanceKind",
    "InstanceList",
    "ListedInstance",
    "PlatformClient",
    "PlatformSettings",
]
