"""A loopback proxy in front of one address, whose connections can be harmed."""

import math
import socket
import struct
from enum import Enum

import trio

__all__ = ["Path", "PathFault"]

READ_BYTES = 65536
# Closing with this option set resets the connection (SO_LINGER, zero seconds).
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class PathFault(Enum):
    """How a path fails, until it is told otherwise."""

    NONE = "none"
    SLOW = "slow"  # all bytes come later
    RESET = "reset"  # connections end at once, new ones too
    SILENT = "silent"  # nothing passes, either way
    NO_WAY_THERE = "no way there"  # nothing reaches the target
    NO_WAY_BACK = "no way back"  # nothing comes from the target


HELD_THERE = frozenset({PathFault.SILENT, PathFault.NO_WAY_THERE})
HELD_BACK = frozenset({PathFault.SILENT, PathFault.NO_WAY_BACK})


class _Connection:
    """One connection through the path; `dead` ones stay silent for good."""

    def __init__(self, near: trio.SocketStream, far: trio.SocketStream) -> None:
        self.near = near
        self.far = far
        self.dead = False
        self.scope = trio.CancelScope()

    def reset(self) -> None:
        for stream in (self.near, self.far):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.scope.cancel()


class Path:
    """Forwards connections to `target`.

    Parameters
    ----------
    target
        Where connections go, as ``IP:port``.

    Attributes
    ----------
    slow_s : float
        By how much bytes come later while the path is slow.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.fault = PathFault.NONE
        self.slow_s = 0.0
        self._connections: set[_Connection] = set()
        self._changed = trio.Event()

    def fail(self, fault: PathFault) -> None:
        """Set the fault for all connections, those that are open included."""
        self.fault = fault
        if fault is PathFault.RESET:
            for connection in self._connections:
                connection.reset()
        self._changed.set()
        self._changed = trio.Event()

    def forget_open(self) -> None:
        """Make what is open now silent for good; new connections work."""
        for connection in self._connections:
            connection.dead = True

    async def run(self, listen: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        host, _, port = listen.rpartition(":")
        await trio.serve_tcp(self._serve, int(port), host=host, task_status=task_status)

    async def _serve(self, near: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await near.aclose()
            return
        connection = _Connection(near, far)
        self._connections.add(connection)
        try:
            with connection.scope:
                if self.fault is PathFault.RESET:
                    connection.reset()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, connection, near, far, HELD_THERE)
                    nursery.start_soon(self._copy, connection, far, near, HELD_BACK)
        finally:
            self._connections.discard(connection)
            for stream in (near, far):
                await trio.aclose_forcefully(stream)

    async def _copy(
        self,
        connection: _Connection,
        one: trio.SocketStream,
        other: trio.SocketStream,
        held: frozenset[PathFault],
    ) -> None:
        try:
            async for data in one:
                await self._hold(connection, held)
                await other.send_all(data)
            await self._hold(connection, held)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # either end is gone; the other one is closed with it
        connection.scope.cancel()

    async def _hold(self, connection: _Connection, held: frozenset[PathFault]) -> None:
        if self.fault is PathFault.SLOW:
            await trio.sleep(self.slow_s)
        while self.fault in held:
            await self._changed.wait()
        if connection.dead:
            await trio.sleep(math.inf)
