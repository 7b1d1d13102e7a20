"""A loopback proxy in front of one address that injects network faults."""

import math
import socket
import struct
from enum import Enum

import trio

__all__ = ["FaultProxy", "ProxyFault"]

READ_BYTES = 65536
# SO_LINGER with a timeout of zero: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyFault(Enum):
    """Fault that a proxy injects until another one is set."""

    NONE = "none"
    SLOW = "slow"  # all data is delayed
    RESET = "reset"  # open and new connections are reset
    SILENT = "silent"  # no data passes in either direction
    BLOCKED_TO_TARGET = "no way there"  # no data reaches the target
    BLOCKED_FROM_TARGET = "no way back"  # no data comes from the target


BLOCKS_TO_TARGET = frozenset({ProxyFault.SILENT, ProxyFault.BLOCKED_TO_TARGET})
BLOCKS_FROM_TARGET = frozenset({ProxyFault.SILENT, ProxyFault.BLOCKED_FROM_TARGET})


class _Connection:
    """One proxied connection; once `is_stalled`, it never passes data again."""

    def __init__(
        self, client_stream: trio.SocketStream, target_stream: trio.SocketStream
    ) -> None:
        self.client_stream = client_stream
        self.target_stream = target_stream
        self.is_stalled = False
        self.scope = trio.CancelScope()

    def reset(self) -> None:
        for stream in (self.client_stream, self.target_stream):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.scope.cancel()


class FaultProxy:
    """Forwards connections to `target`, subject to the current fault.

    Parameters
    ----------
    target
        Address that connections are forwarded to, as ``IP:port``.

    Attributes
    ----------
    delay_s : float
        Delay of each read while the fault is `SLOW`, in seconds.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.fault = ProxyFault.NONE
        self.delay_s = 0.0
        self._connections: set[_Connection] = set()
        self._changed = trio.Event()

    def set_fault(self, fault: ProxyFault) -> None:
        """Set the fault of all connections, including open ones."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            for connection in self._connections:
                connection.reset()
        self._changed.set()
        self._changed = trio.Event()

    def stall_open_connections(self) -> None:
        """Stop passing data on open connections for good; new ones work."""
        for connection in self._connections:
            connection.is_stalled = True

    async def run(self, listen: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        host, _, port = listen.rpartition(":")
        await trio.serve_tcp(self._serve, int(port), host=host, task_status=task_status)

    async def _serve(self, client_stream: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            target_stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await client_stream.aclose()
            return
        connection = _Connection(client_stream, target_stream)
        self._connections.add(connection)
        try:
            with connection.scope:
                if self.fault is ProxyFault.RESET:
                    connection.reset()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._copy,
                        connection,
                        client_stream,
                        target_stream,
                        BLOCKS_TO_TARGET,
                    )
                    nursery.start_soon(
                        self._copy,
                        connection,
                        target_stream,
                        client_stream,
                        BLOCKS_FROM_TARGET,
                    )
        finally:
            self._connections.discard(connection)
            for stream in (client_stream, target_stream):
                await trio.aclose_forcefully(stream)

    async def _copy(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        blocking_faults: frozenset[ProxyFault],
    ) -> None:
        try:
            async for data in source:
                await self._apply_fault(connection, blocking_faults)
                await destination.send_all(data)
            await self._apply_fault(connection, blocking_faults)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # one side closed its connection; the other side is closed too
        connection.scope.cancel()

    async def _apply_fault(
        self, connection: _Connection, blocking_faults: frozenset[ProxyFault]
    ) -> None:
        if self.fault is ProxyFault.SLOW:
            await trio.sleep(self.delay_s)
        while self.fault in blocking_faults:
            await self._changed.wait()
        if connection.is_stalled:
            await trio.sleep(math.inf)
