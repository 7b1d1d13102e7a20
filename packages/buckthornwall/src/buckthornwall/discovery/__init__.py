"""What is published and who is registered, kept up to date on this instance.

============= ============================================================
`news`        changes as a source tells them
`agent`       the task that reads a source and puts its news in force
============= ============================================================
"""

from .agent import DiscoveryAgent, DiscoverySettings
from .news import Feed, HistoryLost, News

__all__ = ["DiscoveryAgent", "DiscoverySettings", "Feed", "HistoryLost", "News"]
