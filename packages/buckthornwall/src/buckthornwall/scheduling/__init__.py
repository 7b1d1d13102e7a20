"""Scheduling of requests: the order of service and the choice of an engine.

`queue`, `engines`, `slot_table` and `estimates` hold the state of a pool's scheduler,
and `core` makes its `decisions`. `agent` runs the schedulers of this instance; `entry`
asks them for slots on behalf of the requests that clients send to this instance. The
messages between the two are in `buckthornwall.links`.
"""

from .agent import SchedulerAgent
from .core import PoolScheduler
from .decisions import Decision, GrantDecision, PreemptDecision, RefusalDecision
from .engines import EngineState, reported_capacity, share_capacity
from .entry import EntryAgent, SlotRequest
from .queue import FairQueue, Ticket
from .settings import SchedulingSettings

__all__ = [
    "Decision",
    "EngineState",
    "EntryAgent",
    "FairQueue",
    "GrantDecision",
    "PoolScheduler",
    "PreemptDecision",
    "RefusalDecision",
    "SchedulerAgent",
    "SchedulingSettings",
    "SlotRequest",
    "Ticket",
    "reported_capacity",
    "share_capacity",
]
