"""The entry's leases of its part of each pool.

An entry leaves its part of a pool to one scheduler at a time; until it has
left it to somebody, or while a lease ends, it decides by itself within it.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from buckthornwall.links import Message, SlotReport
from buckthornwall.membership import MemberTable
from buckthornwall.records import Model, SchedulingMode
from buckthornwall.utils import Clock, ModelId, NodeId

from .settings import SchedulingSettings

__all__ = ["ShareLeaseManager", "ShareLease"]


@dataclass
class ShareLease:
    """Whom this entry has left its part of a pool to, and since when."""

    scheduler: NodeId
    number: int
    renewed_at: float
    ending: bool = False


class ShareLeaseManager:
    """Gives, renews and ends the leases of this entry's parts.

    Parameters
    ----------
    node, clock, settings
        This instance, its clock and the ``[scheduling]`` section.
    members
        The view of the fleet.
    send
        Sends a message to an instance, this one included.
    pools
        Returns the pools of the records in force.
    slot_report
        Returns the report of what this entry holds of a pool.
    resend_requests
        Called for a pool whose part has changed hands.
    """

    def __init__(
        self,
        node: NodeId,
        clock: Clock,
        settings: SchedulingSettings,
        members: MemberTable,
        send: Callable[[NodeId, Message], bool],
        pools: Callable[[], list[Model]],
        slot_report: Callable[[ModelId], SlotReport],
        resend_requests: Callable[[ModelId], None],
    ) -> None:
        self.node = node
        self.clock = clock
        self.settings = settings
        self.members = members
        self.send = send
        self.pools = pools
        self.slot_report = slot_report
        self.resend_requests = resend_requests
        self.leases: dict[ModelId, ShareLease] = {}
        self.leases_issued = 0

    def holder(self, pool: ModelId) -> NodeId | None:
        """Return the scheduler that has our part, or None if it is ours."""
        lease = self.leases.get(pool)
        return None if lease is None or lease.ending else lease.scheduler

    async def run(self) -> None:
        """Report the slots in use to the pools' schedulers, again and again."""
        while True:
            self.renew()
            await trio.sleep(self.settings.holdings_s)

    def renew(self) -> None:
        """Leave our part of each pool to its scheduler, as the fleet looks now."""
        for model in self.pools():
            self._renew(model.id, model.scheduling is SchedulingMode.POOLED)
            self._report_to_self(model.id)

    def _renew(self, pool: ModelId, pooled: bool) -> None:
        """Renew, end or begin the lease by which a scheduler has our part.

        A lease that was given ends when its holder says so, or by time where
        the holder is not heard; only then may another have our part.
        """
        now = self.clock.now()
        winner = self.members.winner(pool) if pooled else None
        lease = self.leases.get(pool)
        if lease is not None and lease.scheduler != winner:
            lease_s = self.settings.support_s + self.settings.support_margin_s
            if now - lease.renewed_at <= lease_s:
                lease.ending = True
                message = SlotReport(pool, False, lease.number, now, [])
                self.send(lease.scheduler, message)
                return
            self.receive_lease_ended(lease.scheduler, pool, lease.number)
            return
        if lease is not None and lease.ending:
            # The fleet looks again as it did. Under a new number, since the
            # end of the old lease may already be on its way.
            lease.ending = False
            lease.number = self._next_number()
            self.resend_requests(pool)
        if winner is not None:
            self._send_renewal(pool, winner, now)

    def _next_number(self) -> int:
        self.leases_issued += 1
        return self.leases_issued

    def _send_renewal(self, pool: ModelId, scheduler: NodeId, now: float) -> None:
        existing = self.leases.get(pool)
        lease = existing or ShareLease(scheduler, self._next_number(), now)
        message = self.slot_report(pool)
        message.renews_lease = True
        message.lease = lease.number
        if not self.send(scheduler, message):
            return
        lease.renewed_at = now
        if existing is None:
            self.leases[pool] = lease
            self.resend_requests(pool)

    def receive_lease_ended(self, node: NodeId, pool: ModelId, number: int) -> None:
        """Take a scheduler's word that it no longer counts on a lease."""
        lease = self.leases.get(pool)
        if lease is None or (lease.scheduler, lease.number) != (node, number):
            return
        del self.leases[pool]
        self.resend_requests(pool)
        self.renew()

    def _report_to_self(self, pool: ModelId) -> None:
        """Tell our own scheduler what we hold, without a part to go with it."""
        lease = self.leases.get(pool)
        if lease is None or lease.scheduler != self.node:
            slot_report = self.slot_report(pool)
            if slot_report.running:
                self.send(self.node, slot_report)
