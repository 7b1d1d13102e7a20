"""Leases by which this instance hands its share of each pool to a scheduler.

An instance leases its share of a pool's slots to one scheduler at a time. While no
lease is in force, or while one is ending, it schedules within its share itself.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from buckthornwall.links import Message, SlotReport
from buckthornwall.membership import MemberTable
from buckthornwall.records import Model, SchedulingMode
from buckthornwall.utils import Clock, ModelId, NodeId

from .settings import SchedulingSettings

__all__ = ["ShareLease", "ShareLeaseManager"]


@dataclass
class ShareLease:
    """The lease of this instance's share of one pool.

    Attributes
    ----------
    scheduler
        The instance that holds the lease.
    number
        Number of the lease, unique among those this instance has issued.
    renewed_at
        Time of the last renewal, in seconds.
    ending
        Whether the end of the lease was requested and not yet confirmed.
    """

    scheduler: NodeId
    number: int
    renewed_at: float
    ending: bool = False


class ShareLeaseManager:
    """Issues, renews and ends the leases of this instance's shares.

    Parameters
    ----------
    node, clock, settings
        This instance, its clock and the ``[scheduling]`` section.
    members
        The known instances.
    send
        Sends a message to an instance, this one included.
    pools
        Returns the pools of the records in force.
    slot_report
        Returns the report of this instance's slots in use in a pool.
    resend_requests
        Called with a pool when the scheduler of this instance's share changes.
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
        """Return the scheduler that holds the share, or None if it is not leased."""
        lease = self.leases.get(pool)
        return None if lease is None or lease.ending else lease.scheduler

    async def run(self) -> None:
        """Report the slots in use to the pools' schedulers periodically."""
        while True:
            self.renew()
            await trio.sleep(self.settings.holdings_s)

    def renew(self) -> None:
        """Update the lease of each pool to follow the current membership."""
        for model in self.pools():
            self._renew(model.id, model.scheduling is SchedulingMode.POOLED)
            self._report_to_self(model.id)

    def _renew(self, pool: ModelId, pooled: bool) -> None:
        """Renew, end or issue the lease of one pool.

        A lease ends when its holder confirms the end, or by timeout if the holder
        does not answer; only then may the share be leased to another scheduler.
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
            # The holder is the elected scheduler again. The lease gets a new number,
            # since the end of the old one may already be in transit.
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
        message.lease_number = lease.number
        if not self.send(scheduler, message):
            return
        lease.renewed_at = now
        if existing is None:
            self.leases[pool] = lease
            self.resend_requests(pool)

    def receive_lease_ended(self, node: NodeId, pool: ModelId, number: int) -> None:
        """Handle a scheduler's confirmation that it no longer uses a lease."""
        lease = self.leases.get(pool)
        if lease is None or (lease.scheduler, lease.number) != (node, number):
            return
        del self.leases[pool]
        self.resend_requests(pool)
        self.renew()

    def _report_to_self(self, pool: ModelId) -> None:
        """Report the slots in use to the local scheduler if it holds no lease."""
        lease = self.leases.get(pool)
        if lease is None or lease.scheduler != self.node:
            slot_report = self.slot_report(pool)
            if slot_report.running:
                self.send(self.node, slot_report)
