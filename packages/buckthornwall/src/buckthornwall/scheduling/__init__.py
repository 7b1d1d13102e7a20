"""Order of service and the choice of an engine.

`queue`, `engines`, `slot_table` and `estimates` hold state, `core` decides
(`decisions`), `agent` and `entry` are the tasks at the two ends of the messages in
`buckthornwall.links`.
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
    "share_capacity",
    "reported_capacity",
]
