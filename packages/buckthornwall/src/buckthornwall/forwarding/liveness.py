"""Checks of whether an upstream has ended, or only a connection to it."""

import math
from collections.abc import Awaitable, Callable

import trio

from buckthornwall.http1 import refuses_connections
from buckthornwall.pools import UpstreamEntry
from buckthornwall.utils import Clock, UpstreamId

__all__ = ["LivenessChecks"]

NEVER = float("-inf")
# How long a result "ended" is reused.
ENDED_CACHE_S = 0.3
# How long the end of an upstream explains that it refuses connections.
KNOWN_ENDED_S = 10.0


class LivenessChecks:
    """Checks whether upstreams still accept connections.

    Parameters
    ----------
    clock
        Source of time.
    connect_timeout_s
        Longest time to connect.
    is_isolated
        Returns, by probes if needed, whether this instance reaches no upstream at all.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout_s: float,
        is_isolated: Callable[[], Awaitable[bool]],
    ) -> None:
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.is_isolated = is_isolated
        self._locks: dict[UpstreamId, trio.Lock] = {}
        self._ended_at: dict[UpstreamId, float] = {}
        self._alive_at: dict[UpstreamId, float] = {}

    async def has_ended(self, entry: UpstreamEntry) -> bool:
        """Return whether the host of an upstream refuses connections.

        A host that does not answer counts as alive, since it may be partitioned, and
        one that refuses does if this instance is isolated.
        """
        requested_at = self.clock.now()
        async with self._locks.setdefault(entry.id, trio.Lock()):
            ended_at = self._ended_at.get(entry.id, NEVER)
            if self.clock.now() - ended_at <= ENDED_CACHE_S:
                return True
            if self._alive_at.get(entry.id, NEVER) >= requested_at:
                return False
            checked_at = self.clock.now()
            ended = await self._refuses_connection(entry.address)
            ended = ended and not await self.is_isolated()
            checks = self._ended_at if ended else self._alive_at
            checks[entry.id] = checked_at
            return ended

    def is_known_ended(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream was recently found to have ended."""
        ended_at = self._ended_at.get(upstream, NEVER)
        return self.clock.now() - ended_at <= KNOWN_ENDED_S

    def ended_before(self, upstream: UpstreamId, time: float) -> bool:
        """Return whether an upstream was found to have ended before a time."""
        return self._ended_at.get(upstream, math.inf) < time

    async def _refuses_connection(self, address: str) -> bool:
        return await refuses_connections(address, self.connect_timeout_s)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the results for an upstream that is gone."""
        self._ended_at.pop(upstream, None)
        self._alive_at.pop(upstream, None)
        lock = self._locks.get(upstream)
        if lock is not None and not lock.locked():
            del self._locks[upstream]
