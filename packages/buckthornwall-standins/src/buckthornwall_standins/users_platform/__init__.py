"""Small stand-ins for the users' platform, by its published protocol.

============= ============================================================
`store`       the store that is read and watched, and its faults
`upstream`    a model engine and a plain service that count what they run
`engine`      a model engine that reads prompts in real time, urgent ones first
`wire`        headers that callers and upstreams have in common
`fault_proxy`        a loopback proxy whose connections can be harmed
`deployment`  settings, configuration and registrations that fit together
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
