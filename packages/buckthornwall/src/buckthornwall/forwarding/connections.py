"""Connections to upstreams, kept while they are sound."""

from buckthornwall.http1 import ClientConnection
from buckthornwall.utils import Clock, UpstreamId

__all__ = ["ConnectionCache"]

# An upstream that names no limit is taken to close idle connections after 5 s.
IDLE_LIMIT_S = 4.0
# Part of a named limit after which a connection is no longer used.
IDLE_SHARE = 0.7
# An upstream has that many idle connections from here at most.
MOST_IDLE = 16


class ConnectionCache:
    """Idle connections by upstream, the last used first.

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
        self.opened = 0
        self._idle: dict[UpstreamId, list[ClientConnection]] = {}
        self._busy: dict[UpstreamId, set[ClientConnection]] = {}
        self._limits: dict[UpstreamId, float] = {}

    async def acquire(
        self, upstream: UpstreamId, address: str, most_idle_s: float
    ) -> ClientConnection:
        """Return a sound idle connection, or a new one.

        Parameters
        ----------
        upstream, address
            Whom to reach, and where, as ``IP:port``.
        most_idle_s
            Longest idle time, in seconds, that the caller accepts.

        Raises
        ------
        ExchangeError
            UNREACHABLE, with nothing sent.
        """
        idle = self._idle.get(upstream)
        limit = min(most_idle_s, self._limits.get(upstream, IDLE_LIMIT_S))
        now = self.clock.now()
        while idle:
            connection = idle.pop()
            if now - connection.idle_since <= limit and connection.is_sound():
                return self._lend(upstream, connection)
            connection.close()
        self.opened += 1
        connection = await ClientConnection.connect(address, self.connect_timeout_s)
        return self._lend(upstream, connection)

    def _lend(
        self, upstream: UpstreamId, connection: ClientConnection
    ) -> ClientConnection:
        self._busy.setdefault(upstream, set()).add(connection)
        return connection

    def drop(self, upstream: UpstreamId, connection: ClientConnection) -> None:
        """Close a connection whose exchange is not whole."""
        self._busy.get(upstream, set()).discard(connection)
        connection.close()

    def release(
        self,
        upstream: UpstreamId,
        connection: ClientConnection,
        idle_limit_s: float | None,
    ) -> None:
        """Keep a connection whose exchange is whole, or close it."""
        self._busy.get(upstream, set()).discard(connection)
        idle = self._idle.setdefault(upstream, [])
        if not connection.is_reusable() or len(idle) >= MOST_IDLE:
            connection.close()
            return
        if idle_limit_s is not None:
            self._limits[upstream] = idle_limit_s * IDLE_SHARE
        connection.idle_since = self.clock.now()
        idle.append(connection)

    def expire(self) -> None:
        """Close what has been idle for too long."""
        now = self.clock.now()
        for upstream, idle in self._idle.items():
            limit = self._limits.get(upstream, IDLE_LIMIT_S)
            while idle and now - idle[0].idle_since > limit:
                idle.pop(0).close()

    def forget(self, upstream: UpstreamId) -> None:
        """Close the idle connections to an upstream that is gone."""
        for connection in self._idle.pop(upstream, ()):
            connection.close()
        self._limits.pop(upstream, None)

    def abandon(self, upstream: UpstreamId) -> None:
        """Close every connection to an upstream that started again.

        Its earlier start answers nothing more, whether or not a reset tells so.
        """
        self.forget(upstream)
        for connection in self._busy.pop(upstream, ()):
            connection.close()
