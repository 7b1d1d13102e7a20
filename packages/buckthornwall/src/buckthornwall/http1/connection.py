"""The connection of one client."""

import os
import socket
import struct
from enum import Enum
from typing import TYPE_CHECKING

import h11
import trio

from buckthornwall.capacity import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    MemoryFull,
    growing_bytes,
    head_bytes,
)
from buckthornwall.codes import ResultCode
from buckthornwall.telemetry import log_event

from .messages import IncomingRequest, ServerLimits
from .pieces import send_pieces
from .refusals import RequestRefused
from .request_body import RequestBody
from .request_head import announced_length, parse_head, take_head
from .response import ResponseAborted, ResponseWriter
from .socket_buffers import RECEIVE_BUFFER_BYTES

if TYPE_CHECKING:
    from .server import HttpServer

__all__ = ["ConnectionState", "ServerConnection"]

# Read at once before a body is known to be large.
FIRST_RECEIVE_BYTES = 16_384
BODY_RECEIVE_BYTES = 65_536
# Parsing takes far longer where each chunk has a few bytes only.
CHUNKED_RECEIVE_BYTES = 16_384
# Bytes that are read of what a client sends ahead of its response.
MAX_PIPELINED_BYTES = 16_384
# What a client goes on sending after its last response is still read for this long:
# closing with unread bytes resets the connection, and the response would be lost.
LINGER_S = 0.5
# SO_LINGER with a timeout of zero: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# SO_LINGER switched off: the data that is left is sent before the end.
FLUSH_ON_CLOSE = struct.pack("ii", 0, 0)


class ConnectionState(Enum):
    """What a connection does; those listed first are the first to give way."""

    LINGERING = 0  # a refusal was sent
    IDLE = 1  # no request has begun
    READING = 2  # a request is not complete
    ANSWERING = 3  # a request is being answered; the connection stays


class ConnectionEnded(Exception):
    """The client closed the connection, or left it idle for too long."""


class ServerConnection:
    """The connection of one client; its requests are read and answered in order."""

    def __init__(self, server: "HttpServer", sock: trio.socket.SocketType) -> None:
        self.server = server
        self.sock = sock
        self.unparsed = bytearray()
        self.body: RequestBody | None = None
        # What a complete head and request take beside the bytes that are not parsed.
        self.head_cost = 0
        self.request_cost = 0
        self.write_cost = 0
        self.unread_cost = 0
        self.is_overrun = False
        self.disconnected = False
        self.state = ConnectionState.IDLE
        # Of the step that may end before a request is complete, or after a refusal.
        self.scope = trio.CancelScope()
        self.has_given_way = False
        self.is_closing = False
        self.is_write_partial = False
        self.holding = server.memory.hold()

    async def write(self, data: bytes) -> None:
        """Send all of `data`; see `write_pieces`."""
        await self.write_pieces([data])

    async def write_pieces(self, pieces: list[bytes]) -> None:
        """Send all bytes of `pieces`.

        Raises
        ------
        ResponseAborted
            If the client has disconnected, or takes nothing for as long as a
            connection may be idle.
        """
        self.is_write_partial = True
        try:
            await send_pieces(self.sock, pieces, self.server.limits().idle_timeout_s)
        except (OSError, trio.TooSlowError) as error:
            raise ResponseAborted(str(error)) from error
        self.is_write_partial = False

    async def write_stream(self, pieces: list[bytes]) -> None:
        """Send a part of a response, which is charged until its client has taken it.

        It is there already, so that it finds room whatever else is held.
        """
        self.write_cost = sum(map(len, pieces))
        self.holding.charge(self._held_bytes())
        try:
            await self.write_pieces(pieces)
        finally:
            self.write_cost = 0
            self.holding.charge(self._held_bytes())

    async def run(self) -> None:
        """Serve until the client, a limit or a graceful shutdown closes it."""
        try:
            self.holding.record_progress()
            self._charge()
            while await self._serve_one():
                pass
        except (ConnectionEnded, ResponseAborted, OSError):
            pass  # an ordinary end of a connection; no client is left to answer
        except MemoryFull:
            pass  # logged by the budget; no request has been read
        finally:
            self.sock.close()
            self._drop_request()
            self.holding.close()

    def close_soon(self) -> None:
        """End the connection, unless a request is complete by then."""
        self.is_closing = True
        self.scope.cancel()

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Set whether the end of this connection, or of its process, is a reset."""
        linger = RESET_ON_CLOSE if is_reset else FLUSH_ON_CLOSE
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _serve_one(self) -> bool:
        parser = h11.Connection(h11.SERVER, self.server.limits().max_head_bytes)
        try:
            await self._await_first_bytes()
            request = await self._read_or_give_way(parser)
        except RequestRefused as refused:
            # Its traceback holds the body that was read.
            refusal = refused.with_traceback(None)
        except MemoryFull:
            refusal = RequestRefused.for_memory("refused")
        else:
            response = ResponseWriter(self, parser)
            disconnected = await self._handle(request, response)
            self.head_cost = self.request_cost = self.unread_cost = 0
            self.holding.charge(self._held_bytes())
            if disconnected or not response.ended:
                return False
            if self.is_overrun:
                await self._linger()
                return False
            return parser.our_state is h11.DONE and not self.server.closing
        self._drop_request()
        await self._refuse(refusal)
        return False

    async def _read_or_give_way(self, parser: h11.Connection) -> IncomingRequest:
        """Read a request, which may be evicted until it is complete."""
        self.state = ConnectionState.READING
        with trio.CancelScope() as self.scope:
            self.holding.begin_unfinished(self._give_way)
            try:
                return await self._read_request(parser)
            finally:
                self.holding.end_unfinished()
        if self.is_closing:
            raise ConnectionEnded
        raise RequestRefused.for_memory("evicted")

    def _give_way(self) -> None:
        """Free what is held of a request that is not complete, and stop reading it."""
        self._drop_request()
        self.has_given_way = True
        self.scope.cancel()

    def _drop_request(self) -> None:
        if self.body is not None:
            self.body.clear()
        self.body = None
        self.head_cost = self.request_cost = 0
        self.unparsed.clear()
        self.holding.charge(CONNECTION_BYTES)

    def _charge(self, more: int = 0) -> None:
        """Charge what is held, and `more` bytes that are about to be read.

        Raises
        ------
        MemoryFull
            If there is no room for it.
        """
        self.holding.resize(self._held_bytes() + more)

    def _held_bytes(self) -> int:
        body = growing_bytes(len(self.body.data)) if self.body is not None else 0
        request = self.head_cost + self.request_cost + body
        ahead = len(self.unparsed) + self.unread_cost
        return CONNECTION_BYTES + ahead + request + self.write_cost

    async def _handle(self, request: IncomingRequest, response: ResponseWriter) -> bool:
        """Run the handler; return whether the client disconnected.

        The handler is cancelled when that happens.
        """
        self.server.active += 1
        self.state = ConnectionState.ANSWERING
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_for_disconnect, nursery.cancel_scope)
                try:
                    await self.server.handler(request, response)
                except ResponseAborted:
                    self.disconnected = True
                nursery.cancel_scope.cancel()
        finally:
            self.server.active -= 1
        return self.disconnected

    async def _watch_for_disconnect(self, scope: trio.CancelScope) -> None:
        """Read what the client sends ahead of its response, until it disconnects.

        Beyond a limit it stays unread. Where there is no room for that, it is dropped,
        and the connection closes after the response.
        """
        try:
            while len(self.unparsed) < MAX_PIPELINED_BYTES:
                await self._receive(FIRST_RECEIVE_BYTES)
            self.unread_cost = RECEIVE_BUFFER_BYTES
            self._charge()
            return
        except MemoryFull:
            self.is_overrun = True
        except (ConnectionEnded, OSError):
            self._record_disconnect(scope)
            return
        self.unread_cost = 0
        self.unparsed.clear()
        self.holding.charge(self._held_bytes())
        try:
            await self._drain()
        except (ConnectionEnded, OSError):
            self._record_disconnect(scope)

    def _record_disconnect(self, scope: trio.CancelScope) -> None:
        self.disconnected = True
        scope.cancel()

    async def _await_first_bytes(self) -> None:
        """Wait for the first bytes of a request, at most for the idle time-out."""
        if self.unparsed:
            return
        self.state = ConnectionState.IDLE
        with trio.move_on_after(self.server.limits().idle_timeout_s) as self.scope:
            await self._receive(FIRST_RECEIVE_BYTES)
        if self.scope.cancelled_caught:
            raise ConnectionEnded
        if self.is_closing:  # as the bytes arrived
            self.is_closing = False
            self.server.connections.add(self)

    async def _receive(self, max_bytes: int) -> None:
        """Wait for bytes, and add them to those that are not parsed yet."""
        await trio.lowlevel.wait_readable(self.sock)
        self._read(max_bytes)

    def _read(self, max_bytes: int) -> None:
        """Add received bytes, if any, to those that are not parsed yet.

        Room for them is found before they are read.

        Raises
        ------
        MemoryFull
            If there is none.
        RequestRefused
            If the request has given way.
        """
        if self.has_given_way:  # as this task was about to read more
            raise RequestRefused.for_memory("evicted")
        self._charge(max_bytes)
        data = self._take(max_bytes)
        if data == b"":
            raise ConnectionEnded
        self.unparsed += data or b""
        self.holding.record_progress()
        self._charge()

    async def _read_request(self, parser: h11.Connection) -> IncomingRequest:
        limits = self.server.limits()
        with trio.move_on_after(limits.head_timeout_s) as scope:
            head = await self._read_head(limits.max_head_bytes)
        if scope.cancelled_caught:
            raise RequestRefused(408, ResultCode.BODY_TOO_SLOW, "head")
        received_at = self.server.clock.now()
        self.head_cost = head_bytes(len(head), head.count(b"\n"))
        self._charge()
        request = parse_head(parser, head)
        body = self.body = RequestBody(
            announced_length(request), limits.max_body_bytes, limits.max_head_bytes
        )
        if parser.they_are_waiting_for_100_continue:
            accepted = h11.InformationalResponse(status_code=100, headers=[])
            await self.write(parser.send(accepted))
        await self._read_body(body, limits)
        if self.server.is_busy():
            raise RequestRefused.for_memory("in flight")
        self.body = None
        self.request_cost = REQUEST_BYTES + len(body.data)
        self._charge()
        return IncomingRequest(
            request.method,
            request.target,
            list(request.headers),
            bytes(body.data),
            received_at,
        )

    async def _read_head(self, max_bytes: int) -> bytes:
        """Remove one request head, and nothing after it, from the unparsed bytes."""
        while (head := take_head(self.unparsed, max_bytes)) is None:
            await self._receive(FIRST_RECEIVE_BYTES)
        return head

    async def _read_body(self, body: RequestBody, limits: ServerLimits) -> None:
        """Read the rest of a body.

        What does not arrive with its head is read by one connection at a time, and no
        more than one receive in each turn, so that bodies that take long to parse do
        not delay other requests by more than that.
        """
        body.feed(self.unparsed)
        while not body.is_complete:
            with trio.move_on_after(limits.idle_timeout_s) as scope:
                await trio.lowlevel.wait_readable(self.sock)
            if scope.cancelled_caught:
                raise RequestRefused(408, ResultCode.BODY_TOO_SLOW)
            async with self.server.body_turns:
                if body.length is None:
                    max_bytes = CHUNKED_RECEIVE_BYTES
                else:
                    missing = body.length - len(body.data)
                    max_bytes = min(missing, BODY_RECEIVE_BYTES)
                self._read(max_bytes)
                body.feed(self.unparsed)

    async def _refuse(self, refused: RequestRefused) -> None:
        """Answer bytes that could not be read as a request, and close."""
        log_event(
            "request_unreadable",
            "WARNING",
            status=refused.status,
            code=refused.code.number,
            detail=refused.detail,
        )
        body = b'{"code":%d,"message":"%s"}' % (
            refused.code.number,
            refused.code.meaning.encode(),
        )
        head = b"HTTP/1.1 %d Refused\r\nContent-Type: application/json\r\n"
        if refused.retry_after_s is not None:
            head += b"Retry-After: %.2f\r\n" % refused.retry_after_s
        head += b"Content-Length: %d\r\nConnection: close\r\n\r\n"
        self.state = ConnectionState.LINGERING
        with trio.CancelScope() as self.scope:
            await self.write(head % (refused.status, len(body)) + body)
        await self._linger()

    async def _linger(self) -> None:
        """End the responses, and drop what the client still sends for a while."""
        self.state = ConnectionState.LINGERING
        self.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(LINGER_S) as self.scope:
            await self._drain()

    async def _drain(self) -> None:
        """Read and drop what the client sends until it closes the connection."""
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            async with self.server.body_turns:
                if self._take(BODY_RECEIVE_BYTES) == b"":
                    raise ConnectionEnded

    def _take(self, max_bytes: int) -> bytes | None:
        """Return received bytes, b"" at the end, or None if there are none yet."""
        try:
            return os.read(self.sock.fileno(), max_bytes)
        except BlockingIOError:
            return None  # it was readable, and is no longer
