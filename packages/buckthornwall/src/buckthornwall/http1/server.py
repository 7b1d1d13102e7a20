"""A listener, its client connections, and graceful shutdown."""

import math
import socket
from collections.abc import Awaitable, Callable

import trio

from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock

from .connection import ConnectionState, ServerConnection
from .messages import IncomingRequest, ServerLimits
from .response import ResponseWriter
from .shared import SharedResources
from .socket_buffers import limit_receive_buffer

__all__ = ["Handler", "HttpServer"]

BACKLOG = 1024
# Share of the connections that may have a request in flight; requests on the others are
# refused.
MAX_ACTIVE_SHARE = 0.75

Handler = Callable[[IncomingRequest, ResponseWriter], Awaitable[None]]


class HttpServer:
    """A listener whose connections fail independently of each other.

    Parameters
    ----------
    clock
        Source of time.
    limits
        Returns the limits in force.
    handler
        Called with each complete request and the writer of its response.
    shared
        What the listeners of one process share.
    max_connections
        Most connections at once. Beyond that, one on which no request is being
        answered gives way to a new one.

    Attributes
    ----------
    active : int
        Requests that are being answered.
    evicted, refused : int
        Connections that gave way to new ones, and new ones that were closed.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], ServerLimits],
        handler: Handler,
        shared: SharedResources | None = None,
        max_connections: float = math.inf,
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.handler = handler
        shared = shared or SharedResources.unlimited(clock)
        self.memory = shared.memory
        self.body_turns = shared.body_turns
        self.active = 0
        self.closing = False
        self.max_connections = max_connections
        self.connections: set[ServerConnection] = set()
        self.evicted = 0
        self.refused = 0

    async def run(
        self,
        address: str,
        bound_socket: socket.socket | None = None,
        *,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, at ``IP:port`` or on a socket that already listens.

        Parameters
        ----------
        address
            Where to listen; not used if `bound_socket` is given.
        bound_socket
            A socket that listens already.
        """
        if bound_socket is None:
            sock = await _listening_socket(address)
        else:
            limit_receive_buffer(bound_socket)
            sock = trio.socket.from_stdlib_socket(bound_socket)
        listener = trio.SocketListener(sock)
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(
                self._accept,
                [listener],
                handler_nursery=nursery,
                task_status=task_status,
            )

    def is_busy(self) -> bool:
        """Return whether requests in flight leave no connections for others."""
        return self.active >= self.max_connections * MAX_ACTIVE_SHARE

    def close_idle(self) -> None:
        """Close the connections on which no request is being read."""
        for connection in self.connections:
            if connection.state is ConnectionState.IDLE:
                connection.close_soon()

    async def _accept(self, stream: trio.SocketStream) -> None:
        if len(self.connections) >= self.max_connections and not self._evict():
            stream.socket.close()
            return
        connection = ServerConnection(self, stream.socket)
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception as error:
            # A fault on one connection must not affect the others.
            log_event("connection_failed", "ERROR", detail=repr(error))
        finally:
            self.connections.discard(connection)

    def _evict(self) -> bool:
        """Close a connection in favor of a new one; return whether there was one.

        No request that has been read is lost. Those of one state give way by how long
        they have been silent.
        """
        victim = min(
            self.connections,
            key=lambda each: (each.state.value, each.holding.progressed_at),
        )
        is_found = victim.state is not ConnectionState.ANSWERING
        log_event(
            "connection_evicted" if is_found else "connection_refused",
            "WARNING",
            state=victim.state.name.lower(),
            silent_ms=round((self.clock.now() - victim.holding.progressed_at) * 1000),
            connections=len(self.connections),
        )
        if not is_found:
            self.refused += 1
            return False
        self.evicted += 1
        self.connections.discard(victim)
        victim.close_soon()
        return True


async def _listening_socket(address: str) -> trio.socket.SocketType:
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    limit_receive_buffer(sock)
    await sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    return sock
