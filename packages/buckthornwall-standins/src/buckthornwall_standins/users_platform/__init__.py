"""Small stand-ins for the users' platform, by its published protocol.

============= ============================================================
`store`       the store that is read and watched, and its faults
`upstream`    a model engine and a plain service that count what they run
`path`        a loopback proxy whose connections can be harmed
`deployment`  settings, configuration and registrations that fit together
============= ============================================================
"""

from .deployment import Deployment, make_settings
from .path import Path, PathFault
from .store import Store, StoreFault
from .upstream import Upstream

__all__ = [
    "Deployment",
    "Path",
    "PathFault",
    "Store",
    "StoreFault",
    "Upstream",
    "make_settings",
]
