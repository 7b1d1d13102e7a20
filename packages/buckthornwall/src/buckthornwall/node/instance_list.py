"""Task that watches the platform's list of instances."""

from collections.abc import Callable

import trio

from buckthornwall.codes import PeerError
from buckthornwall.links import PeerAddress
from buckthornwall.membership import MemberTable
from buckthornwall.platform import InstanceKind, InstanceList, PlatformClient
from buckthornwall.utils import Backoff, Clock, NodeId, StorePosition, UpstreamId

__all__ = ["InstanceListAgent"]

MIN_RETRY_DELAY_S = 0.1


class InstanceListAgent:
    """Applies newer lists of instances to the membership table.

    Parameters
    ----------
    platform
        Client of the platform.
    members
        The membership table.
    clock
        Source of time.
    on_change
        Called after a list was applied.
    """

    def __init__(
        self,
        platform: PlatformClient,
        members: MemberTable,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.platform = platform
        self.members = members
        self.clock = clock
        self.on_change = on_change
        self.position = StorePosition()
        self.polled = False

    async def run(self) -> None:
        """Watch the platform without end, and retry while it is unavailable."""
        settings = self.platform.settings
        backoff = Backoff(MIN_RETRY_DELAY_S, settings.retry_limit_s)
        wait_s = 0.0
        while True:
            try:
                listed = await self.platform.watch_instances(wait_s)
            except PeerError:
                self.polled = True
                await trio.sleep(backoff.next_delay())
                continue
            self.polled = True
            wait_s = settings.watch_s
            if listed is not None and self.is_newer(listed):
                backoff.reset()
                self.apply(listed)
            elif listed is not None:
                # Not a newer list: back off instead of polling in a tight loop.
                await trio.sleep(backoff.next_delay())

    def is_newer(self, listed: InstanceList) -> bool:
        """Return whether a list is newer than the last one that was applied."""
        return listed.position.in_era(self.position.era) > self.position

    def apply(self, listed: InstanceList) -> None:
        """Apply a list to the membership table."""
        now = self.clock.now()
        is_first_of_era = self.position.is_in_former_era(listed.position)
        self.position = listed.position.in_era(self.position.era)
        entries = {
            NodeId(each.id): PeerAddress(NodeId(each.id), each.address, each.zone)
            for each in listed.instances
            if each.kind is InstanceKind.ENTRY
        }
        self.members.apply_list(entries, now)
        for each in listed.instances:
            if each.kind is InstanceKind.ENTRY:
                continue
            if each.leaving:
                self.members.mark_leaving(UpstreamId(each.id), now, first_hand=True)
            elif not is_first_of_era:
                # The first list of an era may be an older copy.
                self.members.clear_leaving(UpstreamId(each.id))
        self.on_change()
