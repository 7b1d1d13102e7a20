"""Reuse of connections to upstreams."""

from collections.abc import Callable

from buckthornwall.http1 import ClientConnection, ExchangeError, find_readable
from buckthornwall.utils import Clock, UpstreamId

__all__ = ["ConnectionCache"]

# Upstreams that name no keep-alive timeout are assumed to close idle connections after
# 5 s.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Fraction of a named keep-alive timeout after which a connection is not reused.
IDLE_TIMEOUT_FRACTION = 0.7
MAX_IDLE_PER_UPSTREAM = 16


class ConnectionCache:
    """Idle connections by upstream, the most recently used first.

    Parameters
    ----------
    clock
        Source of time.
    connect_timeout_s
        Longest time to connect.

    Attributes
    ----------
    on_connected, on_failed : Callable
        Called with the upstream when a connection has opened, or could not be.
    """

    def __init__(self, clock: Clock, connect_timeout_s: float) -> None:
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.opened = 0
        self.on_connected: Callable[[UpstreamId], None] = lambda upstream: None
        self.on_failed: Callable[[UpstreamId], None] = lambda upstream: None
        self._idle: dict[UpstreamId, list[ClientConnection]] = {}
        self._busy: dict[UpstreamId, set[ClientConnection]] = {}
        self._idle_timeouts: dict[UpstreamId, float] = {}

    async def acquire(
        self, upstream: UpstreamId, address: str, max_idle_s: float
    ) -> ClientConnection:
        """Return a usable idle connection, or a new one.

        Parameters
        ----------
        upstream, address
            The upstream, and its address as ``IP:port``.
        max_idle_s
            Longest acceptable idle time, in seconds.

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
            if now - connection.idle_since <= limit_s and connection.is_healthy():
                return self._check_out(upstream, connection)
            connection.close()
        return self._check_out(upstream, await self._open(upstream, address))

    async def open_idle(self, upstream: UpstreamId, address: str) -> None:
        """Open a connection, and keep it for a later request.

        Raises
        ------
        ExchangeError
            UNREACHABLE.
        """
        self._keep(upstream, await self._open(upstream, address))

    async def _open(self, upstream: UpstreamId, address: str) -> ClientConnection:
        self.opened += 1
        try:
            connection = await ClientConnection.connect(address, self.connect_timeout_s)
        except ExchangeError:
            self.on_failed(upstream)
            raise
        self.on_connected(upstream)
        return connection

    def _check_out(
        self, upstream: UpstreamId, connection: ClientConnection
    ) -> ClientConnection:
        self._busy.setdefault(upstream, set()).add(connection)
        return connection

    def drop(self, upstream: UpstreamId, connection: ClientConnection) -> None:
        """Close a connection whose exchange is incomplete."""
        self._busy.get(upstream, set()).discard(connection)
        connection.close()

    def release(
        self,
        upstream: UpstreamId,
        connection: ClientConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """Keep a connection whose exchange is complete, or close it."""
        self._busy.get(upstream, set()).discard(connection)
        if not connection.is_reusable():
            connection.close()
            return
        if idle_timeout_s is not None:
            self._idle_timeouts[upstream] = idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self._keep(upstream, connection)

    def _keep(self, upstream: UpstreamId, connection: ClientConnection) -> None:
        """Add a connection to the idle ones, or close it if there are many."""
        idle = self._idle.setdefault(upstream, [])
        if len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since = self.clock.now()
        idle.append(connection)

    def expire(self) -> None:
        """Close connections that have been idle for too long, or are not sound.

        A server may send bytes to an idle connection until it is closed.
        """
        now = self.clock.now()
        self._close_unhealthy()
        for upstream, idle in self._idle.items():
            limit_s = self._idle_timeouts.get(upstream, DEFAULT_IDLE_TIMEOUT_S)
            while idle and now - idle[0].idle_since > limit_s:
                idle.pop(0).close()

    def _close_unhealthy(self) -> None:
        connections = (each for idle in self._idle.values() for each in idle)
        unhealthy = set(find_readable(connections))
        for upstream, idle in self._idle.items() if unhealthy else ():
            self._idle[upstream] = [each for each in idle if each not in unhealthy]
        for connection in unhealthy:
            connection.close()

    def forget(self, upstream: UpstreamId) -> None:
        """Close the idle connections to an upstream that is gone."""
        for connection in self._idle.pop(upstream, ()):
            connection.close()
        self._idle_timeouts.pop(upstream, None)

    def close_all(self, upstream: UpstreamId) -> None:
        """Close every connection to an upstream that restarted.

        Its former process sends nothing more, even if no reset arrives.
        """
        self.forget(upstream)
        for connection in self._busy.pop(upstream, ()):
            connection.close()
