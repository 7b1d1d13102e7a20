"""An upstream that can be made to crash while it serves."""

from dataclasses import dataclass, field

import trio

from .upstream import Upstream

__all__ = ["CrashableUpstream"]


@dataclass
class CrashableUpstream(Upstream):
    """One incarnation of an upstream.

    Attributes
    ----------
    crashed : trio.Event
        Set to make it crash.
    """

    crashed: trio.Event = field(default_factory=trio.Event)

    async def run_until_crash(
        self, address: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `crashed` is set, then close all sockets."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.run, address)
            task_status.started()
            await self.crashed.wait()
            nursery.cancel_scope.cancel()
