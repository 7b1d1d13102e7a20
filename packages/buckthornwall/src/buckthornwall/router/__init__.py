"""An instance that runs behind the platform's load balancer.

=================== ======================================================
`core`              the components of one instance, and how they are connected
`first_read`        what an instance that has just started waits for
`state_sync`        when the store is read, and when a peer's view is fetched
`staleness_monitor` log lines when the speaker's digest is overdue
`operators`         metrics and status for operators
`stopping`          the steps of a planned stop
`main`              signals, the settings file and its changes
=================== ======================================================
"""

from .core import Router
from .main import run_router

__all__ = ["Router", "run_router"]
