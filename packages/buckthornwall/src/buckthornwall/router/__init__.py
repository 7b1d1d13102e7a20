"""The assembly that runs behind the platform's balancer.

============= ============================================================
`core`        the parts of one instance, and the messages between them
`stopping`    the steps of a planned stop
`main`        signals, the settings file and its changes
============= ============================================================
"""

from .core import Router
from .main import run_router

__all__ = ["Router", "run_router"]
