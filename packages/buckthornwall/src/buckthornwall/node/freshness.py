"""Whether the records in force at an instance can be taken for the newest."""

import math

import trio

from buckthornwall.links import NodeState
from buckthornwall.membership import MemberTable
from buckthornwall.records import RecordStore
from buckthornwall.utils import Clock

from .instance_list import InstanceListAgent
from .records_agent import RecordsAgent

__all__ = ["RecordsFreshness"]

CATCH_UP_S = 0.5
JOIN_TIMEOUT_S = 3.0
JOIN_POLL_S = 0.02
NEVER = -math.inf


class RecordsFreshness:
    """Tracks what an instance received since its start or its last freeze.

    Parameters
    ----------
    store, members, records, instances
        Records in force, known instances, and the agents that poll for newer ones.
    clock
        Source of time.

    Attributes
    ----------
    last_received_at : float
        Time of the last heartbeat from any member.
    """

    def __init__(
        self,
        store: RecordStore,
        members: MemberTable,
        records: RecordsAgent,
        instances: InstanceListAgent,
        clock: Clock,
    ) -> None:
        self.store = store
        self.members = members
        self.records = records
        self.instances = instances
        self.clock = clock
        self.last_received_at = clock.now()
        self._last_freeze = NEVER

    def record_heartbeat_received(self, now: float) -> None:
        """Record that a heartbeat was received."""
        self.last_received_at = now

    def record_freeze(self, now: float) -> None:
        """Record that this process was frozen until now."""
        self._last_freeze = now

    def is_caught_up(self) -> bool:
        """Return whether the records in force here can be taken for the newest.

        After a freeze the sockets still hold what arrived during it, oldest first,
        so only what is received more than `CATCH_UP_S` after the freeze counts.
        """
        if self.members.local_state is not NodeState.READY or self.records.is_stale:
            return False
        alone = not self.members.members
        received = max(
            self.last_received_at, self.records.last_platform_answer_at or NEVER
        )
        return alone or received > self._last_freeze + CATCH_UP_S

    async def wait_until_caught_up(self, stopping: trio.Event) -> None:
        """Wait until the newest records that can be obtained are in force."""
        deadline = self.clock.now() + JOIN_TIMEOUT_S
        while not stopping.is_set() and not self._is_initial_sync_done(deadline):
            await trio.sleep(JOIN_POLL_S)

    def _is_initial_sync_done(self, deadline: float) -> bool:
        """Return whether the newest records that can be obtained are in force.

        The wait for all peers has a limit, since some may be dead and still listed.
        If any peer is known, at least one must have sent a heartbeat; otherwise a
        stale platform alone would determine the records in force here.
        """
        if self.store.view is None or self.records.is_stale:
            return False
        received = [
            member.last_heartbeat_at is not None
            for member in self.members.members.values()
        ]
        if self.clock.now() >= deadline:
            return any(received) or not received
        return self.records.polled_platform and self.instances.polled and all(received)
