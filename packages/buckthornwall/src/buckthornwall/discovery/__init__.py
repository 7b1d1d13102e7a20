"""Service discovery: keep the configuration and the upstreams up to date.

============== ===========================================================
`updates`      updates of the store, and the protocol of their source
`positions`    positions of the records in force, by which states are merged
`checksum`     checksum of the state in force, by which differences are noticed
`deferral`     removals and reopenings that are not applied yet
`restoration`  what is kept when the store has returned from an older copy
`state`        the registrations and evacuations in force, merged from updates
`zone_records` applies the records of evacuated and reopened zones
`agent`        the task that watches the source and applies its updates
============== ===========================================================
"""

from .agent import DiscoveryAgent
from .settings import DiscoverySettings
from .updates import HistoryLost, StoreUpdate, UpdateSource

__all__ = [
    "DiscoveryAgent",
    "DiscoverySettings",
    "UpdateSource",
    "HistoryLost",
    "StoreUpdate",
]
