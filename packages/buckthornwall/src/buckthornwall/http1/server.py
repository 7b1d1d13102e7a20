"""A listener, its client connections, and graceful shutdown."""

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11
import trio

from buckthornwall.codes import ResultCode
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock

from .response import ResponseAborted, ResponseWriter

__all__ = [
    "HttpServer",
    "IncomingRequest",
    "ServerLimits",
]

BACKLOG = 1024
RECEIVE_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
# Bytes that a client may send ahead of its response; no more are read before it ends.
MAX_PIPELINED_BYTES = 65_536
# After a refusal the rest of the body is still read for this long: closing with
# unread bytes resets the connection, and the client would lose the refusal.
LINGER_S = 0.5
# SO_LINGER with a timeout of zero: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# SO_LINGER switched off: the data that is left is sent before the end.
FLUSH_ON_CLOSE = struct.pack("ii", 0, 0)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on what a client may send, in bytes, and how slowly, in seconds."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True)
class IncomingRequest:
    """A request that was read completely; header names are in lower case."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float


class RequestRefused(Exception):
    """A request that is not valid HTTP or that exceeds a limit."""

    def __init__(self, status: int, code: ResultCode, detail: str = "") -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail


class ConnectionEnded(Exception):
    """The client closed the connection, or left it idle for too long."""


Handler = Callable[[IncomingRequest, ResponseWriter], Awaitable[None]]


class ServerConnection:
    """The connection of one client; its requests are read and answered in order."""

    def __init__(self, server: "HttpServer", sock: trio.socket.SocketType) -> None:
        self.server = server
        self.sock = sock
        self.unparsed = bytearray()
        self.disconnected = False
        self.idle_scope: trio.CancelScope | None = None
        self.is_write_partial = False

    async def write(self, data: bytes) -> None:
        """Send all of `data`; raise ResponseAborted if the client has disconnected."""
        view = memoryview(data)
        self.is_write_partial = True
        try:
            while view:
                view = view[await self.sock.send(view) :]
        except OSError as error:
            raise ResponseAborted(str(error)) from error
        self.is_write_partial = False

    async def run(self) -> None:
        """Serve until the client, a limit or a graceful shutdown closes it."""
        try:
            while await self._serve_one():
                pass
        except (ConnectionEnded, ResponseAborted, OSError):
            pass  # an ordinary end of a connection; no client is left to answer
        finally:
            self.sock.close()

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Set whether the end of this connection, or of its process, is a reset."""
        linger = RESET_ON_CLOSE if is_reset else FLUSH_ON_CLOSE
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _serve_one(self) -> bool:
        parser = h11.Connection(h11.SERVER, self.server.limits().max_head_bytes)
        try:
            await self._await_first_bytes()
            request = await self._read_request(parser)
        except RequestRefused as refused:
            await self._refuse(parser, refused)
            return False
        response = ResponseWriter(self, parser)
        disconnected = await self._handle(request, response)
        if disconnected or not response.ended:
            return False
        self.unparsed[:0] = parser.trailing_data[0]
        return parser.our_state is h11.DONE and not self.server.closing

    async def _handle(self, request: IncomingRequest, response: ResponseWriter) -> bool:
        """Run the handler; return whether the client disconnected.

        The handler is cancelled when that happens.
        """
        self.server.active += 1
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
        while len(self.unparsed) < MAX_PIPELINED_BYTES:
            try:
                data = await self.sock.recv(RECEIVE_BYTES)
            except OSError:
                data = b""
            if not data:
                self.disconnected = True
                scope.cancel()
                return
            self.unparsed += data

    async def _await_first_bytes(self) -> None:
        """Wait for the first bytes of a request, at most for the idle time-out."""
        if self.unparsed:
            return
        with trio.CancelScope() as scope:
            scope.deadline = trio.current_time() + self.server.limits().idle_timeout_s
            self.idle_scope = scope
            self.server.idle.add(self)
            try:
                await self._receive()
            finally:
                self.server.idle.discard(self)
        if scope.cancelled_caught:
            raise ConnectionEnded

    async def _receive(self) -> None:
        data = await self.sock.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionEnded
        self.unparsed += data

    async def _read_request(self, parser: h11.Connection) -> IncomingRequest:
        limits = self.server.limits()
        with trio.move_on_after(limits.head_timeout_s) as scope:
            head = await self._read_head(limits.max_head_bytes)
        if scope.cancelled_caught:
            raise RequestRefused(408, ResultCode.BODY_TOO_SLOW, "head")
        received_at = self.server.clock.now()
        parser.receive_data(head)
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise RequestRefused(
                status, ResultCode.MALFORMED_BODY, str(error)
            ) from error
        if not isinstance(event, h11.Request):
            raise RequestRefused(400, ResultCode.MALFORMED_BODY, "no request")
        self._check_framing(event, head)
        body = await self._read_body(parser, event, limits)
        return IncomingRequest(
            event.method, event.target, list(event.headers), body, received_at
        )

    async def _read_head(self, max_bytes: int) -> bytes:
        """Remove one request head, and nothing after it, from the unparsed bytes."""
        while True:
            while self.unparsed[:2] == b"\r\n":
                del self.unparsed[:2]
            end = self.unparsed.find(HEAD_END)
            if end > max_bytes or (end < 0 and len(self.unparsed) > max_bytes):
                raise RequestRefused(431, ResultCode.HEAD_TOO_LARGE)
            if end >= 0:
                break
            await self._receive()
        head = bytes(self.unparsed[: end + len(HEAD_END)])
        del self.unparsed[: len(head)]
        if head.count(b"\n") != head.count(b"\r\n") or head.count(b"\r") != head.count(
            b"\r\n"
        ):
            raise RequestRefused(400, ResultCode.MALFORMED_BODY, "bare line end")
        return head

    def _check_framing(self, request: h11.Request, head: bytes) -> None:
        """Refuse a head that two parsers could frame differently."""
        names = [name for name, _ in request.headers]
        lines = head.lower()  # h11 merges equal Content-Length headers into one
        lengths = lines.count(b"\r\ncontent-length:")
        encodings = lines.count(b"\r\ntransfer-encoding:")
        if lengths + encodings > 1:
            raise RequestRefused(400, ResultCode.MALFORMED_BODY, "two lengths")
        if names.count(b"host") != 1:
            raise RequestRefused(400, ResultCode.MALFORMED_BODY, "host")
        if not request.target.startswith(b"/"):
            raise RequestRefused(400, ResultCode.MALFORMED_BODY, "target")

    async def _read_body(
        self, parser: h11.Connection, request: h11.Request, limits: ServerLimits
    ) -> bytes:
        for name, value in request.headers:
            if name == b"content-length" and int(value) > limits.max_body_bytes:
                raise RequestRefused(413, ResultCode.BODY_TOO_LARGE)
        if parser.they_are_waiting_for_100_continue:
            await self.write(
                parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        body = bytearray()
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestRefused(
                    400, ResultCode.MALFORMED_BODY, str(error)
                ) from error
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.max_body_bytes:
                    raise RequestRefused(413, ResultCode.BODY_TOO_LARGE)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                await self._read_more(parser, limits)

    async def _read_more(self, parser: h11.Connection, limits: ServerLimits) -> None:
        if not self.unparsed:
            with trio.move_on_after(limits.idle_timeout_s) as scope:
                await self._receive()
            if scope.cancelled_caught:
                raise RequestRefused(408, ResultCode.BODY_TOO_SLOW)
        parser.receive_data(bytes(self.unparsed))
        self.unparsed.clear()

    async def _refuse(self, parser: h11.Connection, refused: RequestRefused) -> None:
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
        head += b"Content-Length: %d\r\nConnection: close\r\n\r\n"
        await self.write(head % (refused.status, len(body)) + body)
        self.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(LINGER_S):
            while await self.sock.recv(RECEIVE_BYTES):
                pass


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
    """

    def __init__(
        self, clock: Clock, limits: Callable[[], ServerLimits], handler: Handler
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.handler = handler
        self.active = 0
        self.closing = False
        self.idle: set[ServerConnection] = set()

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
            sock = trio.socket.from_stdlib_socket(bound_socket)
        listener = trio.SocketListener(sock)
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(
                self._accept,
                [listener],
                handler_nursery=nursery,
                task_status=task_status,
            )

    def close_idle(self) -> None:
        """Close the connections on which no request is being read."""
        for connection in list(self.idle):
            connection.idle_scope.cancel()

    async def _accept(self, stream: trio.SocketStream) -> None:
        connection = ServerConnection(self, stream.socket)
        try:
            await connection.run()
        except Exception as error:
            # A fault on one connection must not affect the others.
            log_event("connection_failed", "ERROR", detail=repr(error))


async def _listening_socket(address: str) -> trio.socket.SocketType:
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    return sock
