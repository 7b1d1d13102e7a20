"""Whether an upstream has ended, or only a connection to it."""

import trio

from buckthornwall.http1 import ClientConnection, ExchangeError
from buckthornwall.pools import UpstreamEntry
from buckthornwall.utils import Clock, UpstreamId

__all__ = ["LivenessChecks"]

# Attempts that one end cut share a check for so many seconds.
SHARED_S = 0.3


class LivenessChecks:
    """Asks hosts of upstreams whether anything still listens there.

    Parameters
    ----------
    clock
        Source of time.
    connect_timeout_s
        Longest time to connect.
    """

    def __init__(self, clock: Clock, connect_timeout_s: float) -> None:
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self._locks: dict[UpstreamId, trio.Lock] = {}
        self._results: dict[UpstreamId, tuple[float, bool]] = {}

    async def has_ended(self, entry: UpstreamEntry) -> bool:
        """Tell whether the host of an upstream refuses connections.

        A host that does not answer says nothing: it may be cut off.
        """
        lock = self._locks.setdefault(entry.id, trio.Lock())
        async with lock:
            now = self.clock.now()
            checked_at, ended = self._results.get(entry.id, (float("-inf"), False))
            if now - checked_at > SHARED_S:
                ended = await self._refuses(entry.address)
                self._results[entry.id] = (self.clock.now(), ended)
        return ended

    async def _refuses(self, address: str) -> bool:
        try:
            connection = await ClientConnection.connect(address, self.connect_timeout_s)
        except ExchangeError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.close()
        return False

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known of an upstream that is gone."""
        self._results.pop(upstream, None)
        lock = self._locks.get(upstream)
        if lock is not None and not lock.locked():
            del self._locks[upstream]
