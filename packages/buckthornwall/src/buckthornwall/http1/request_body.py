"""Bodies of requests, decoded as their bytes arrive."""

import httptools

from buckthornwall.codes import ResultCode

from .refusals import RequestRefused

__all__ = ["RequestBody"]

# The parser reads whole messages; the head of the request has been read before.
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
# A chunked body ends with these bytes, which may also be among its data.
CHUNKED_END = b"\r\n\r\n"


class RequestBody:
    """The body of one request.

    Parameters
    ----------
    length
        Its announced length in bytes; None if it is chunked.
    max_bytes
        Largest size of the body.
    max_framing_bytes
        Most bytes of framing, such as extensions or trailers, without a byte of data.

    Attributes
    ----------
    data : bytearray
        What has been decoded so far.
    is_complete : bool
        Whether its last byte, or the end of its last chunk, has been decoded.

    Raises
    ------
    RequestRefused
        If the announced length is over the limit.
    """

    def __init__(
        self, length: int | None, max_bytes: int, max_framing_bytes: int
    ) -> None:
        if length is not None and length > max_bytes:
            raise RequestRefused(413, ResultCode.BODY_TOO_LARGE)
        self.length = length
        self.max_bytes = max_bytes
        self.max_framing_bytes = max_framing_bytes
        self.data = bytearray()
        self.is_complete = length == 0
        self._chunks = _ChunkedDecoder() if length is None else None
        self._framing_bytes = 0

    def feed(self, unparsed: bytearray) -> None:
        """Decode received bytes, and remove from them what belongs to the body.

        Raises
        ------
        RequestRefused
            If the framing is not valid, or the body exceeds a limit.
        """
        if self._chunks is None:
            self._take_data(unparsed)
        elif unparsed:
            self._decode_chunks(unparsed)

    def clear(self) -> None:
        """Free what has been decoded."""
        self.data.clear()
        self._chunks = None

    def _take_data(self, unparsed: bytearray) -> None:
        taken = unparsed[: self.length - len(self.data)]
        del unparsed[: len(taken)]
        self.data += taken
        self.is_complete = len(self.data) == self.length

    def _decode_chunks(self, unparsed: bytearray) -> None:
        consumed, data = self._chunks.decode(bytes(unparsed))
        del unparsed[:consumed]
        self._framing_bytes = 0 if data else self._framing_bytes + consumed
        if self._framing_bytes > self.max_framing_bytes:
            raise RequestRefused(431, ResultCode.HEAD_TOO_LARGE, "framing")
        if len(self.data) + len(data) > self.max_bytes:
            raise RequestRefused(413, ResultCode.BODY_TOO_LARGE)
        self.data += data
        self.is_complete = self._chunks.is_complete


class _ChunkedDecoder:
    """Decodes a chunked body, and finds its end among bytes that follow it."""

    def __init__(self) -> None:
        self._events = _ParserEvents()
        self._parser = httptools.HttpRequestParser(self._events)
        self._parser.feed_data(CHUNKED_HEAD)
        self._tail = b""

    @property
    def is_complete(self) -> bool:
        """Whether the end of the last chunk and its trailers has been decoded."""
        return self._events.is_complete

    def decode(self, received: bytes) -> tuple[int, bytes]:
        """Return how many of the bytes belong to the body, and its data in them.

        The parser does not tell where a message ends, and would take what follows for
        another one. So it is given bytes up to each place where the body may end.

        Raises
        ------
        RequestRefused
            If they are not valid.
        """
        window = self._tail + received
        begin = 0
        while begin < len(received) and not self._events.is_complete:
            end = _find_possible_end(window, len(self._tail) + begin)
            end = len(received) if end is None else end - len(self._tail)
            self._parse(received[begin:end])
            begin = end
        self._tail = window[1 - len(CHUNKED_END) :]
        return begin, self._events.take_data()

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            raise RequestRefused(400, ResultCode.MALFORMED_BODY, str(error)) from error


def _find_possible_end(window: bytes, begin: int) -> int | None:
    """Return the first position after `begin` at which a chunked body may end."""
    found = window.find(CHUNKED_END, max(0, begin + 1 - len(CHUNKED_END)))
    return found + len(CHUNKED_END) if found >= 0 else None


class _ParserEvents:
    """What the parser reports of one message."""

    def __init__(self) -> None:
        self.is_complete = False
        self._pieces: list[bytes] = []
        # Called for each chunk, which may have a single byte.
        self.on_body = self._pieces.append

    def on_message_complete(self) -> None:
        """Record the end of the message."""
        self.is_complete = True

    def take_data(self) -> bytes:
        """Return the data since the last call."""
        data = b"".join(self._pieces)
        self._pieces.clear()
        return data
