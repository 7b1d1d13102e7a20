"""The entry's leases of its part of each pool.

An entry leaves its part of a pool to one scheduler at a time; until it has
left it to somebody, or while a lease ends, it decides alone within it.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from buckthornwall.links import Holdings, Message
from buckthornwall.membership import MemberTable
from buckthornwall.records import Model, SchedulingMode
from buckthornwall.utils import Clock, ModelId, NodeId

from .settings import SchedulingSettings

__all__ = ["PartLeases", "Support"]


@dataclass
class Support:
    """Whom this entry has left its part of a pool to, and since when."""

    scheduler: NodeId
    lease: int
    renewed_at: float
    ending: bool = False


class PartLeases:
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
    holdings
        Returns the report of what this entry holds of a pool.
    ask_again
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
        holdings: Callable[[ModelId], Holdings],
        ask_again: Callable[[ModelId], None],
    ) -> None:
        self.node = node
        self.clock = clock
        self.settings = settings
        self.members = members
        self.send = send
        self.pools = pools
        self.holdings = holdings
        self.ask_again = ask_again
        self.supports: dict[ModelId, Support] = {}
        self.leases_given = 0

    def holder(self, pool: ModelId) -> NodeId | None:
        """Return the scheduler that has our part, or None if it is ours."""
        support = self.supports.get(pool)
        return None if support is None or support.ending else support.scheduler

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
        support = self.supports.get(pool)
        if support is not None and support.scheduler != winner:
            lease_s = self.settings.support_s + self.settings.support_margin_s
            if now - support.renewed_at <= lease_s:
                support.ending = True
                message = Holdings(pool, False, support.lease, now, [])
                self.send(support.scheduler, message)
                return
            self.ended(support.scheduler, pool, support.lease)
            return
        if support is not None and support.ending:
            # The fleet looks again as it did. Under a new number, since the
            # end of the old lease may already be on its way.
            support.ending = False
            support.lease = self._next_lease()
            self.ask_again(pool)
        if winner is not None:
            self._give(pool, winner, now)

    def _next_lease(self) -> int:
        self.leases_given += 1
        return self.leases_given

    def _give(self, pool: ModelId, winner: NodeId, now: float) -> None:
        held = self.supports.get(pool)
        support = held or Support(winner, self._next_lease(), now)
        message = self.holdings(pool)
        message.support = True
        message.lease = support.lease
        if not self.send(winner, message):
            return
        support.renewed_at = now
        if held is None:
            self.supports[pool] = support
            self.ask_again(pool)

    def ended(self, node: NodeId, pool: ModelId, lease: int) -> None:
        """Take a scheduler's word that it no longer counts on a lease."""
        support = self.supports.get(pool)
        if support is None or (support.scheduler, support.lease) != (node, lease):
            return
        del self.supports[pool]
        self.ask_again(pool)
        self.renew()

    def _report_to_self(self, pool: ModelId) -> None:
        """Tell our own scheduler what we hold, without a part to go with it."""
        support = self.supports.get(pool)
        if support is None or support.scheduler != self.node:
            holdings = self.holdings(pool)
            if holdings.running:
                self.send(self.node, holdings)
