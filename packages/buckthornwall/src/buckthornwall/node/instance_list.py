"""The task that follows the platform's list of instances."""

from collections.abc import Callable

import trio

from buckthornwall.codes import PeerError
from buckthornwall.links import PeerAddress
from buckthornwall.membership import MemberTable
from buckthornwall.platform import InstanceKind, InstanceList, PlatformClient
from buckthornwall.utils import Backoff, Clock, NodeId, UpstreamId

__all__ = ["InstanceListAgent"]

MIN_RETRY_DELAY_S = 0.1


class InstanceListAgent:
    """Applies each newer list to the table of members.

    Parameters
    ----------
    platform
        Client of the platform.
    members
        The table to keep.
    clock
        Source of time.
    on_change
        Called after each list that was applied.
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
        self.number = 0
        self.polled = False

    async def run(self) -> None:
        """Watch the platform for ever, through its outages."""
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
            if listed is not None and listed.number > self.number:
                backoff.reset()
                self.apply(listed)
            elif listed is not None:
                # An older list: do not read it again and again.
                await trio.sleep(backoff.next_delay())

    def apply(self, listed: InstanceList) -> None:
        """Take a list into the table of members."""
        now = self.clock.now()
        self.number = listed.number
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
            else:
                self.members.clear_leaving(UpstreamId(each.id))
        self.on_change()
