"""An upstream whose responses may have neither length nor chunks, and may break off."""

import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from buckthornwall.http1 import HttpServer, ResponseWriter
from buckthornwall.http1.server import ServerConnection
from buckthornwall.utils import TrioClock

from .crashable import CrashableUpstream
from .upstream import LIMITS, STREAM_EVENTS

__all__ = ["UnframedUpstream"]

BACKLOG = 1024
# Time in which the first half of an unframed body is read before the rest is sent.
HALF_BODY_S = 0.01
# SO_LINGER with a timeout of zero: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class UnframedUpstream(CrashableUpstream):
    """One incarnation of an upstream.

    Attributes
    ----------
    rng : random.Random
        Samples how responses end.
    unframed_share : float
        Share of responses with neither length nor chunks.
    broken_share : float
        Share of the unframed streams that are broken off.
    may_crash : callable
        Whether the process may end now, with a stream between two events.
    on_break : callable
        Called with the id of each request whose stream is broken off.
    """

    rng: random.Random = field(default_factory=random.Random)
    unframed_share: float = 0.8
    broken_share: float = 0.4
    may_crash: Callable[[], bool] = lambda: False
    on_break: Callable[[str], None] = lambda request: None
    serving: dict[ServerConnection, str] = field(default_factory=dict)

    async def run(self, address: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled or crashed.

        The listener is closed before the connections, as when a process ends.
        """
        host, _, port = address.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
        server = HttpServer(TrioClock(), lambda: LIMITS, self._handle)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, address, listener)
            task_status.started()
            await self.crashed.wait()
            listener.shutdown(socket.SHUT_RDWR)
            nursery.cancel_scope.cancel()

    async def _answer(self, request, response, headers) -> None:
        if self.rng.random() >= self.unframed_share:
            await super()._answer(request, response, headers)
            return
        body = b"answer-to-" + request
        await _write_head(response, headers)
        await response.connection.write(body[:6])
        await trio.sleep(HALF_BODY_S)
        await response.connection.write(body[6:])

    async def _stream(self, request_headers, response, headers) -> None:
        request = request_headers[b"x-buckthornwall-attempt-id"].decode()
        connection = response.connection
        self.serving[connection] = request
        try:
            if self.rng.random() >= self.unframed_share:
                await super()._stream(request_headers, response, headers)
                return
            first = int(request_headers.get(b"last-event-id", b"0")) + 1
            is_broken = self.rng.random() < self.broken_share
            last = self.rng.randint(first, max(first, STREAM_EVENTS))
            await _write_head(
                response, [*headers, (b"Content-Type", b"text/event-stream")]
            )
            for number in range(first, STREAM_EVENTS + 1):
                event = b"id: %d\ndata: word-%d\n\n" % (number, number)
                if is_broken and number == last:
                    await self._break_off(connection, event)
                    return
                await connection.write(event)
                await trio.sleep(self.event_s)
        finally:
            del self.serving[connection]

    async def _break_off(self, connection: ServerConnection, event: bytes) -> None:
        """End a stream inside an event, or between two with the process."""
        is_reset = self.rng.random() < 0.5
        if self.may_crash():
            for each, request in self.serving.items():
                self.on_break(request)
                if is_reset:
                    _reset_on_close(each)
            self.crashed.set()
            await trio.sleep_forever()
        self.on_break(self.serving[connection])
        await connection.write(event[: self.rng.randint(1, len(event) - 1)])
        if is_reset:
            _reset_on_close(connection)


async def _write_head(
    response: ResponseWriter, headers: list[tuple[bytes, bytes]]
) -> None:
    lines = b"".join(b"%s: %s\r\n" % header for header in headers)
    await response.connection.write(b"HTTP/1.1 200 OK\r\n%s\r\n" % lines)


def _reset_on_close(connection: ServerConnection) -> None:
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
