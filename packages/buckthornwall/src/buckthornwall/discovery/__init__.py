"""What is published and who is registered, kept up to date on this instance.

============= ============================================================
`updates`     changes as a source tells them
`agent`       the task that reads a source and applies its updates
============= ============================================================
"""

from .agent import DiscoveryAgent, DiscoverySettings
from .updates import HistoryLost, StoreUpdate, UpdateSource

__all__ = [
    "DiscoveryAgent",
    "DiscoverySettings",
    "UpdateSource",
    "HistoryLost",
    "StoreUpdate",
]
