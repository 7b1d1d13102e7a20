"""A client connection that carries one exchange (request and response) at a time."""

import select
import socket
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

import h11
import trio

from buckthornwall.utils import split_address

from .failures import ExchangeError, ExchangeFailure
from .pieces import encode_pieces, send_pieces
from .socket_buffers import limit_receive_buffer

__all__ = [
    "BodyFraming",
    "ClientConnection",
    "ResponseHead",
    "find_readable",
    "is_valid_request",
    "refuses_connections",
]

RECEIVE_BYTES = 65_536
# Within which a process that is ending closes its listener after its connections.
ENDING_S = 0.05
LIVENESS_CONNECTS = 2
MAX_HEAD_BYTES = 65_536
# An idle path is probed after 1 s, then every second, and is dead a second after the
# third unanswered probe. A silence of up to 2 s that begins just before the first probe
# ends before the third.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# A path that leaves bytes unacknowledged for this long is dead; Linux would wait
# 15 minutes. It also decides when probes give up, whatever their count (tcp(7)), so it
# is as long as all of them.
USER_TIMEOUT_MS = 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S)
# What every head of a response begins with.
HEAD_PREFIX = b"HTTP/"
# Informational responses before the final one.
MAX_INFORMATIONAL = 16
STATUSES_WITHOUT_BODY = frozenset({204, 304})

Headers = Sequence[tuple[bytes, bytes]]


class BodyFraming(Enum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    LENGTH = "length"  # its length, which may be 0
    CHUNKED = "chunked"
    CLOSE = "close"  # only the end of the connection


@dataclass(slots=True)
class ResponseHead:
    """Status, headers and framing of a response; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]
    framing: BodyFraming = BodyFraming.LENGTH


def _find_framing(response: h11.Response, method: bytes) -> BodyFraming:
    names = {name for name, _ in response.headers}
    if method == b"HEAD" or response.status_code in STATUSES_WITHOUT_BODY:
        return BodyFraming.LENGTH
    if b"transfer-encoding" in names:
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if b"content-length" in names else BodyFraming.CLOSE


def _set_options(sock: trio.socket.SocketType) -> None:
    limit_receive_buffer(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class ClientConnection:
    """A connection to a server, and the parser of its current exchange.

    Each exchange has a parser of its own, so that bytes received after a
    complete response are never taken for the response to the next request.

    Parameters
    ----------
    sock
        A connected socket; the connection closes it.

    Attributes
    ----------
    trailers : list of (bytes, bytes)
        Trailers of the newest response that was read to its end.
    """

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self.sock = sock
        self.parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self.exchanges = 0
        self.idle_since = 0.0
        self.closed = False
        self.trailers: Headers = []
        self._request: h11.Request | None = None
        self._body = b""

    @classmethod
    async def connect(cls, address: str, timeout_s: float) -> "ClientConnection":
        """Open a connection to ``IP:port``.

        Raises
        ------
        ExchangeError
            UNREACHABLE; no byte was sent.
        """
        sock = None
        try:
            destination = split_address(address)
            # Fails if the process has no descriptor left.
            sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            _set_options(sock)
            with trio.fail_after(timeout_s):
                await sock.connect(destination)
        except (OSError, ValueError, trio.TooSlowError) as error:
            if sock is not None:
                sock.close()
            detail = f"{address} {type(error).__name__}"
            raise ExchangeError(
                ExchangeFailure.UNREACHABLE, detail, sent=False
            ) from error
        except BaseException:
            if sock is not None:
                sock.close()
            raise
        return cls(sock)

    def close(self) -> None:
        """Close at once; the server sees that its client has disconnected."""
        self.closed = True
        self.sock.close()

    def is_healthy(self) -> bool:
        """Return whether an idle connection can carry another exchange.

        It cannot if it is readable before a request is sent: either the server has
        closed it, or it holds bytes that answer no request.
        """
        return not self.closed and not self.sock.is_readable()

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a complete request.

        Raises
        ------
        ExchangeError
            RESET if the connection was lost, MALFORMED if the request is not valid
            HTTP and nothing was sent.
        """
        self.exchanges += 1
        self.parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        try:
            self._request = h11.Request(method=method, target=target, headers=headers)
            self._body = body
            pieces = self._write_request()
        except h11.LocalProtocolError as error:
            detail = f"request {error}"
            raise ExchangeError(
                ExchangeFailure.MALFORMED, detail, sent=False
            ) from error
        try:
            await send_pieces(self.sock, pieces)
        except (OSError, trio.ClosedResourceError) as error:
            raise ExchangeError(ExchangeFailure.RESET, str(error)) from error

    def _write_request(self) -> list[bytes]:
        events = [self._request, h11.EndOfMessage()]
        if self._body:
            events.insert(1, h11.Data(data=self._body))
        return encode_pieces(self.parser, events)

    async def receive_head(self) -> ResponseHead:
        """Return the head of the final response, skipping informational ones.

        Raises
        ------
        ExchangeError
            RESET, CLOSED or MALFORMED.
        """
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                framing = _find_framing(event, self._request.method)
                return ResponseHead(event.status_code, list(event.headers), framing)
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeError(ExchangeFailure.CLOSED, "before a response")
        raise ExchangeError(ExchangeFailure.MALFORMED, "no final response")

    async def receive_data(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end.

        Raises
        ------
        ExchangeError
            RESET, CLOSED or MALFORMED: the body is incomplete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self.trailers = list(event.headers)
                return b""

    async def receive_body(self, max_bytes: int) -> bytes:
        """Return the rest of the body.

        Raises
        ------
        ExchangeError
            RESET, CLOSED or MALFORMED: the body is incomplete, or has more than
            `max_bytes`.
        """
        body = bytearray()
        while data := await self.receive_data():
            body += data
            if len(body) > max_bytes:
                raise ExchangeError(ExchangeFailure.MALFORMED, "body too large")
        return bytes(body)

    async def skip_body(self, max_bytes: int) -> None:
        """Read the rest of the body without keeping it.

        Raises
        ------
        ExchangeError
            As of `receive_body`.
        """
        size = 0
        while data := await self.receive_data():
            size += len(data)
            if size > max_bytes:
                raise ExchangeError(ExchangeFailure.MALFORMED, "body too large")

    async def skip_response(self, max_bytes: int) -> None:
        """Read a response to another request to its end; the next one may follow.

        Raises
        ------
        ExchangeError
            As of `receive_body`.
        """
        await self.skip_body(max_bytes)
        rest, ended = self.parser.trailing_data
        self.parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._write_request()  # the new parser needs the request to parse a response
        if rest:
            self.parser.receive_data(rest)
        if ended:
            raise ExchangeError(ExchangeFailure.CLOSED, "after another response")

    def is_quiet(self) -> bool:
        """Return whether the server has neither sent anything unread nor closed."""
        return not self.closed and not find_readable([self])

    def is_reusable(self) -> bool:
        """Return whether the response was read completely and no bytes follow it."""
        return (
            not self.closed
            and self.parser.their_state is h11.DONE
            and self.parser.our_state is h11.DONE
            and not self.parser.trailing_data[0]
        )

    def _check_head_prefix(self) -> None:
        """Check what has been received of a head, which may go on slowly."""
        if self.parser.their_state is not h11.SEND_RESPONSE:
            return
        received = self.parser.trailing_data[0][: len(HEAD_PREFIX)]
        if not HEAD_PREFIX.startswith(received):
            raise ExchangeError(ExchangeFailure.MALFORMED, "no HTTP")

    async def _next_event(self) -> h11.Event:
        try:
            while True:
                event = self.parser.next_event()
                if event is h11.NEED_DATA:
                    self._check_head_prefix()
                    self.parser.receive_data(await self.sock.recv(RECEIVE_BYTES))
                elif isinstance(event, h11.ConnectionClosed):
                    raise ExchangeError(ExchangeFailure.CLOSED)
                elif event is h11.PAUSED:
                    raise ExchangeError(
                        ExchangeFailure.MALFORMED, "bytes after a response"
                    )
                else:
                    return event
        except (OSError, trio.ClosedResourceError) as error:
            raise ExchangeError(ExchangeFailure.RESET, str(error)) from error
        except h11.RemoteProtocolError as error:
            if self.parser.trailing_data[1]:
                detail = "before the response was complete"
                raise ExchangeError(ExchangeFailure.CLOSED, detail) from error
            raise ExchangeError(ExchangeFailure.MALFORMED, str(error)) from error


def find_readable(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Return the idle connections among some that cannot carry another exchange.

    See `ClientConnection.is_healthy`; one system call serves for all of them.
    """
    poll, by_descriptor = select.poll(), {}
    for connection in connections:
        descriptor = connection.sock.fileno()
        if descriptor < 0:
            continue  # closed already
        by_descriptor[descriptor] = connection
        poll.register(descriptor, select.POLLIN)
    if not by_descriptor:
        return []
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]


def is_valid_request(method: bytes, target: bytes, headers: Headers) -> bool:
    """Return whether a request with these can be sent; a host header is added."""
    try:
        h11.Request(method=method, target=target, headers=[(b"host", b""), *headers])
    except h11.LocalProtocolError:
        return False
    return True


async def refuses_connections(address: str, timeout_s: float) -> bool:
    """Return whether no process listens at ``IP:port``, whose host answers.

    A host that does not answer within `timeout_s` seconds may be partitioned. A process
    that is ending may still be listening although it has closed other connections: a
    connection that it accepts is lost soon after.
    """
    for _ in range(LIVENESS_CONNECTS):
        try:
            connection = await ClientConnection.connect(address, timeout_s)
        except ExchangeError as error:
            if isinstance(error.__cause__, ConnectionResetError):
                continue  # accepted, and lost before it was established here
            return isinstance(error.__cause__, ConnectionRefusedError)
        try:
            if not await _is_lost_soon(connection):
                return False
        finally:
            connection.close()
    return False  # it ends connections, as a server with too many does


async def _is_lost_soon(connection: ClientConnection) -> bool:
    """Return whether the server ends a connection that it has just accepted."""
    with trio.move_on_after(ENDING_S):
        await trio.lowlevel.wait_readable(connection.sock)
        return True
    return False
