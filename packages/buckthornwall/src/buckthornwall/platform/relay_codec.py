"""Converts requests to peers and their responses, in which headers mark refusals."""

import math
import re
from dataclasses import replace
from urllib.parse import quote_from_bytes, unquote

from buckthornwall.codes import Executed, Refusal, ResultCode
from buckthornwall.forwarding import AttemptContext, Reply
from buckthornwall.http1 import ResponseHead
from buckthornwall.routing import RoutedRequest
from buckthornwall.utils import SoftwareVersion

from . import names
from .codec import PlatformCodec

__all__ = [
    "RELAYED_HEADERS",
    "RelayCodec",
    "relay_refusal_headers",
    "relay_version_headers",
]

Headers = list[tuple[bytes, bytes]]

# In all responses to requests from a peer, so that those of a build that knows no such
# requests differ.
RELAYED_HEADERS: Headers = [(names.RELAYED, b"1")]
HTTP_UNAVAILABLE = 503
MAX_DETAIL_BYTES = 80
MAX_DIGITS = 6
NOT_IN_HEADERS = re.compile(rb"[^!-~]")
CODES = {code.number: code for code in ResultCode}


def relay_refusal_headers(refusal: Refusal, runs: int) -> Headers:
    """Return the headers, or trailers, that mark a refusal by this instance for a peer.

    Parameters
    ----------
    refusal
        The refusal.
    runs
        Number of attempts of this instance that may have run.
    """
    detail = refusal.detail.encode("ascii", "replace")[:MAX_DETAIL_BYTES]
    value = b"%d %d %s" % (
        refusal.code.number,
        runs,
        NOT_IN_HEADERS.sub(b"_", detail) or b"-",
    )
    return [(names.RELAY_REFUSAL, value)]


def relay_version_headers(version: SoftwareVersion) -> Headers:
    """Return the headers that name the version that sends a stream to a peer."""
    return [(names.RELAY_VERSION, quote_from_bytes(version.encode()).encode())]


def _version(found: dict[bytes, bytes]) -> SoftwareVersion | None:
    value = found.get(names.RELAY_VERSION)
    return (
        SoftwareVersion(unquote(value.decode("latin-1"))) if value is not None else None
    )


class RelayCodec:
    """Encodes the headers of requests to peers, and decodes their responses."""

    def __init__(self) -> None:
        self._platform = PlatformCodec()

    def encode(self, request: RoutedRequest, context: AttemptContext) -> Headers:
        """Return the request headers of one attempt."""
        return [
            (b"host", context.upstream.address.encode("latin-1")),
            (b"content-type", b"application/cbor"),
            (b"content-length", b"%d" % len(request.body)),
        ]

    def decode(self, head: ResponseHead) -> Reply:
        """Return a peer's response as the type of this project.

        What it says about an upstream is not for this instance.
        """
        found = dict(head.headers)
        reply = self._platform.decode(head)
        refusal, runs = _refusal(found)
        # The peer is of another build, or refused the request before it was read.
        is_unhandled = names.RELAYED not in found and (
            400 <= head.status < 500 or head.status == HTTP_UNAVAILABLE
        )
        is_refused_unrun = refusal is not None and refusal.run is Executed.NO
        return replace(
            reply,
            not_run=is_unhandled or is_refused_unrun,
            misdirected=False,
            load=None,
            rate_limit=None,
            notice=None,
            refusal=refusal,
            runs=runs,
            version=_version(found),
        )

    def decode_trailers(self, reply: Reply, trailers: Headers) -> Reply:
        """Return the reply, with the refusal of a peer that could not complete it."""
        refusal, runs = _refusal(dict(trailers))
        if refusal is None:
            return reply
        return replace(reply, refusal=refusal, runs=runs, is_given_up=True)


def _refusal(found: dict[bytes, bytes]) -> tuple[Refusal | None, int]:
    """Return the refusal of a peer, if any, and how many runs it had."""
    value = found.get(names.RELAY_REFUSAL)
    if value is None:
        return None, 0
    number, count, detail = (*value.decode("latin-1").split(" ", 2), "", "")[:3]
    code = CODES.get(_number(number, 0))
    runs = _number(count, 1)  # unless it says so, it may have run
    if code is None:  # of a later build
        code = ResultCode.UPSTREAM_BROKEN if runs else ResultCode.NO_ENGINE
    run = Executed.UNKNOWN if runs else Executed.NO
    retry_after_s = _retry_after_s(found.get(names.RETRY_AFTER))
    return Refusal(code, detail, run, retry_after_s), runs


def _number(text: str, default: int) -> int:
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if is_number else default


def _retry_after_s(value: bytes | None) -> float | None:
    try:
        seconds = float(value) if value is not None else math.nan
    except ValueError:
        return None  # only a hint for the client
    return seconds if 0 <= seconds < math.inf else None
