"""The response to one request, written complete or in pieces."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import h11
import trio

from buckthornwall.codes import Refusal
from buckthornwall.utils import SoftwareVersion

from .pieces import encode_pieces

if TYPE_CHECKING:
    from .connection import ServerConnection

__all__ = ["ResponseAborted", "ResponseWriter"]

# A reader that does not take the trailers in this time sees only the connection end.
ABORT_TIMEOUT_S = 0.5

RefusalHeaders = Callable[[Refusal, int], list[tuple[bytes, bytes]]]
VersionHeaders = Callable[[SoftwareVersion], list[tuple[bytes, bytes]]]


class ResponseAborted(Exception):
    """A response that was begun cannot be completed; its connection must close."""


class ResponseWriter:
    """Writes the response to one request, complete or in pieces.

    Attributes
    ----------
    extra_headers : list of (bytes, bytes)
        Headers that are added to every response.
    version_headers : callable
        Returns the headers that name a software version to a peer.
    refusal_headers : callable
        Returns the headers that are added to a refusal by this instance, given it and
        how many attempts of this instance may have run. If there are any, they are also
        the trailers of a response that was begun and cannot be completed.
    """

    def __init__(self, connection: "ServerConnection", parser: h11.Connection) -> None:
        self.connection = connection
        self.parser = parser
        self.started = False
        self.ended = False
        self.extra_headers: list[tuple[bytes, bytes]] = []
        self.refusal_headers: RefusalHeaders = lambda refusal, runs: []
        self.version_headers: VersionHeaders = lambda version: []

    async def send_complete(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response in one write."""
        self.started = True
        sized = [*headers, (b"Content-Length", b"%d" % len(body))]
        events = [self._head(status, sized), *_data(body), h11.EndOfMessage()]
        await self.connection.write_pieces(encode_pieces(self.parser, events))
        self.ended = True

    async def begin(
        self, status: int, headers: list[tuple[bytes, bytes]], data: bytes = b""
    ) -> None:
        """Send the head of a response of unknown length, and its first bytes."""
        self.started = True
        pieces = encode_pieces(self.parser, [self._head(status, headers), *_data(data)])
        if not self.is_chunked:
            self.connection.set_reset_on_close(True)
        await self.connection.write_stream(pieces)

    def add_version(self, version: SoftwareVersion) -> None:
        """Name the software version that sends the response, before it begins."""
        self.extra_headers = [*self.extra_headers, *self.version_headers(version)]

    async def send(self, data: bytes) -> None:
        """Send more bytes of a response that was begun."""
        pieces = encode_pieces(self.parser, [h11.Data(data=data)])
        await self.connection.write_stream(pieces)

    async def end(self, data: bytes = b"") -> None:
        """Send the last bytes and the end of the message."""
        pieces = encode_pieces(self.parser, [*_data(data), h11.EndOfMessage()])
        await self.connection.write_stream(pieces)
        if not self.is_chunked:
            self.connection.set_reset_on_close(False)
        self.ended = True

    async def abort(self, refusal: Refusal, runs: int) -> None:
        """End a response that was begun and cannot be completed.

        Without trailers, or within a piece that was not written completely, nothing is
        sent, so that it looks incomplete to its client.

        Parameters
        ----------
        refusal
            Why it cannot be completed.
        runs
            Number of attempts of this instance that may have run.

        Raises
        ------
        ResponseAborted
            Always; the connection must close.
        """
        trailers = self.refusal_headers(refusal, runs)
        if trailers and self.is_chunked and not self.connection.is_write_partial:
            data = self.parser.send(h11.EndOfMessage(headers=trailers))
            with trio.move_on_after(ABORT_TIMEOUT_S):
                await self.connection.write(data)
        raise ResponseAborted(refusal.detail)

    @property
    def is_chunked(self) -> bool:
        """Whether a response of unknown length is sent in chunks.

        To a client of HTTP/1.0 it is not, and only a reset shows that it is incomplete.
        """
        return self.parser.their_http_version != b"1.0"

    def _head(self, status: int, headers: list[tuple[bytes, bytes]]) -> h11.Response:
        headers = [*headers, *self.extra_headers]
        if self.connection.server.closing:
            headers = [*headers, (b"Connection", b"close")]
        return h11.Response(status_code=status, headers=headers)


def _data(data: bytes) -> list[h11.Data]:
    """Return the event of some data, none if it is empty."""
    return [h11.Data(data=data)] if data else []
