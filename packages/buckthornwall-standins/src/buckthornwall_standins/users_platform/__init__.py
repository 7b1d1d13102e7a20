"""Small stand-ins for the users' platform, following its published protocol.

============= ============================================================
`store`       key-value store with range reads, watches and injected faults
`upstream`    model engine or plain service that counts the requests it runs
`engine`      model engine that prefills prompts by priority, in real time
`versioned`   upstream whose events name its software version
`headers`     headers of requests and responses
`fault_proxy` loopback proxy that injects network faults
`deployment`  matching settings, configuration and registrations
============= ============================================================
"""

from .deployment import Deployment, make_settings
from .engine import Engine
from .fault_proxy import FaultProxy, ProxyFault
from .store import Store, StoreFault
from .upstream import Upstream

__all__ = [
    "Deployment",
    "Engine",
    "FaultProxy",
    "ProxyFault",
    "Store",
    "StoreFault",
    "Upstream",
    "make_settings",
]
