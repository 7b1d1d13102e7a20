"""A loopback proxy in front of one address, whose connections can be harmed."""

import math
import socket
import struct
from enum import Enum

import trio

__all__ = ["FaultProxy", "ProxyFault"]

READ_BYTES = 65536
# Closing with this option set resets the connection (SO_LINGER, zero seconds).
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyFault(Enum):
    """How a path fails, until it is told otherwise."""

    NONE = "none"
    SLOW = "slow"  # all bytes come later
    RESET = "reset"  # connections end at once, new ones too
    SILENT = "silent"  # nothing passes, either way
    BLOCKED_TO_TARGET = "no way there"  # nothing reaches the target
    BLOCKED_FROM_TARGET = "no way back"  # nothing comes from the target


BLOCKS_TO_TARGET = frozenset({ProxyFault.SILENT, ProxyFault.BLOCKED_TO_TARGET})
BLOCKS_FROM_TARGET = frozenset({ProxyFault.SILENT, ProxyFault.BLOCKED_FROM_TARGET})


class _Connection:
    """One connection through the path; `is_stalled` ones stay silent for good."""

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
    """Forwards connections to `target`.

    Parameters
    ----------
    target
        Where connections go, as ``IP:port``.

    Attributes
    ----------
    delay_s : float
        By how much bytes come later while the path is slow.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.fault = ProxyFault.NONE
        self.delay_s = 0.0
        self._connections: set[_Connection] = set()
        self._changed = trio.Event()

    def set_fault(self, fault: ProxyFault) -> None:
        """Set the fault for all connections, those that are open included."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            for connection in self._connections:
                connection.reset()
        self._changed.set()
        self._changed = trio.Event()

    def stall_open_connections(self) -> None:
        """Make what is open now silent for good; new connections work."""
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
            pass  # either end is gone; the other one is closed with it
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
