"""Small stand-ins for the users' platform, by its published protocol.

============= ============================================================
`store`       the store that is read and watched, and its faults
`upstream`    a model engine and a plain service that count what they run
`deployment`  settings, configuration and registrations that fit together
============= ============================================================
"""

from .deployment import Deployment, make_settings
from .store import Store, StoreFault
from .upstream import Upstream

__all__ = ["Deployment", "Store", "StoreFault", "Upstream", "make_settings"]
