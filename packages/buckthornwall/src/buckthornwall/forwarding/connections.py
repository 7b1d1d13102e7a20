"""Connections to upstreams, kept while they are sound."""

from buckthornwall.http1 import ClientConnection
from buckthornwall.utils import Clock, UpstreamId

__all__ = ["ConnectionCache"]

# An upstream that names no limit is taken to close idle connections after 5 s.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Part of a named limit after which a connection is no longer used.
IDLE_TIMEOUT_FRACTION = 0.7
# An upstream has that many idle connections from here at most.
MAX_IDLE_PER_UPSTREAM = 16


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
        self._idle_timeouts: dict[UpstreamId, float] = {}

    async def acquire(
        self, upstream: UpstreamId, address: str, max_idle_s: float
    ) -> ClientConnection:
        """Return a sound idle connection, or a new one.

        Parameters
        ----------
        upstream, address
            Whom to reach, and where, as ``IP:port``.
        max_idle_s
            Longest idle time, in seconds, that the caller accepts.

        Raises
        ------
        ExchangeError
            UNREACHABLE, with nothing sent.
        """
        idle = self._idle.get(upstream)
        limit_s = min(
            max_idle_s, self._idle_timeouts.get(upstream, DEFAULT_IDLE_TIMEOUT_S)
        )
        now = self.clock.now()
        while idle:
            connection = idle.pop()
            if now - connection.idle_since <= limit_s and connection.is_sound():
                return self._check_out(upstream, connection)
            connection.close()
        self.opened += 1
        connection = await ClientConnection.connect(address, self.connect_timeout_s)
        return self._check_out(upstream, connection)

    def _check_out(
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
        idle_timeout_s: float | None,
    ) -> None:
        """Keep a connection whose exchange is whole, or close it."""
        self._busy.get(upstream, set()).discard(connection)
        idle = self._idle.setdefault(upstream, [])
        if not connection.is_reusable() or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        if idle_timeout_s is not None:
            self._idle_timeouts[upstream] = idle_timeout_s * IDLE_TIMEOUT_FRACTION
        connection.idle_since = self.clock.now()
        idle.append(connection)

    def expire(self) -> None:
        """Close what has been idle for too long."""
        now = self.clock.now()
        for upstream, idle in self._idle.items():
            limit_s = self._idle_timeouts.get(upstream, DEFAULT_IDLE_TIMEOUT_S)
            while idle and now - idle[0].idle_since > limit_s:
                idle.pop(0).close()

    def forget(self, upstream: UpstreamId) -> None:
        """Close the idle connections to an upstream that is gone."""
        for connection in self._idle.pop(upstream, ()):
            connection.close()
        self._idle_timeouts.pop(upstream, None)

    def close_all(self, upstream: UpstreamId) -> None:
        """Close every connection to an upstream that started again.

        Its earlier start answers nothing more, whether or not a reset tells so.
        """
        self.forget(upstream)
        for connection in self._busy.pop(upstream, ()):
            connection.close()
