"""Heads of requests."""

import re

import h11

from buckthornwall.codes import ResultCode

from .refusals import RequestRefused

__all__ = ["announced_length", "parse_head", "take_head"]

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
BLANK_LINES = re.compile(rb"(?:\r\n)*")


def take_head(unparsed: bytearray, max_bytes: int) -> bytes | None:
    """Remove a head, and nothing after it, from received bytes.

    Blank lines before it count as a part of it.

    Returns
    -------
    bytes or None
        The head, None if it is not complete.

    Raises
    ------
    RequestRefused
        If it is too large, or has line ends that other parsers see differently.
    """
    begin = BLANK_LINES.match(unparsed).end()
    end = unparsed.find(HEAD_END, begin)
    if end > max_bytes or (end < 0 and len(unparsed) > max_bytes):
        raise RequestRefused(431, ResultCode.HEAD_TOO_LARGE)
    if end < 0:
        return None
    head = bytes(unparsed[begin : end + len(HEAD_END)])
    del unparsed[: end + len(HEAD_END)]
    ends = head.count(LINE_END)
    if head.count(b"\n") != ends or head.count(b"\r") != ends:
        raise RequestRefused(400, ResultCode.MALFORMED_BODY, "bare line end")
    return head


def parse_head(parser: h11.Connection, head: bytes) -> h11.Request:
    """Return the request that a head announces.

    Raises
    ------
    RequestRefused
        If it is not valid, or two parsers could frame it differently.
    """
    parser.receive_data(head)
    try:
        event = parser.next_event()
    except h11.RemoteProtocolError as error:
        status = error.error_status_hint
        raise RequestRefused(status, ResultCode.MALFORMED_BODY, str(error)) from error
    if not isinstance(event, h11.Request):
        raise RequestRefused(400, ResultCode.MALFORMED_BODY, "no request")
    _check_framing(event, head)
    return event


def _check_framing(request: h11.Request, head: bytes) -> None:
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


def announced_length(request: h11.Request) -> int | None:
    """Return the length of a request's body in bytes, None if it is chunked."""
    for name, value in request.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            return int(value)
    return 0
