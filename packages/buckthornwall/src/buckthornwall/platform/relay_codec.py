"""Converts requests to peers and their responses, in which headers mark refusals."""

import re
from dataclasses import replace

from buckthornwall.codes import Executed, Refusal, ResultCode
from buckthornwall.forwarding import AttemptContext, Reply
from buckthornwall.http1 import ResponseHead
from buckthornwall.routing import RoutedRequest

from . import names
from .codec import PlatformCodec

__all__ = ["RELAYED_HEADERS", "RelayCodec", "relay_refusal_headers"]

Headers = list[tuple[bytes, bytes]]

# In all responses to requests from a peer, so that those of a build that knows no such
# requests differ.
RELAYED_HEADERS: Headers = [(names.RELAYED, b"1")]
MAX_DETAIL_BYTES = 80
NOT_IN_HEADERS = re.compile(rb"[^!-~]")
CODES = {code.number: code for code in ResultCode}


def relay_refusal_headers(refusal: Refusal, may_have_run: bool) -> Headers:
    """Return the headers that mark a refusal by this instance for a peer.

    Parameters
    ----------
    refusal
        The refusal.
    may_have_run
        Whether an attempt of this instance may have run.
    """
    run = Executed.UNKNOWN if may_have_run else Executed.NO
    detail = refusal.detail.encode("ascii", "replace")[:MAX_DETAIL_BYTES]
    value = b"%d %s %s" % (
        refusal.code.number,
        run.value.encode(),
        NOT_IN_HEADERS.sub(b"_", detail) or b"-",
    )
    return [(names.RELAY_REFUSAL, value)]


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
        refusal = _refusal(found)
        is_other_build = names.RELAYED not in found and 400 <= head.status < 500
        is_refused_unrun = refusal is not None and refusal.run is Executed.NO
        return replace(
            reply,
            not_run=is_other_build or is_refused_unrun,
            misdirected=False,
            load=None,
            rate_limit=None,
            notice=None,
            refusal=refusal,
        )


def _refusal(found: dict[bytes, bytes]) -> Refusal | None:
    value = found.get(names.RELAY_REFUSAL)
    if value is None:
        return None
    number, run, detail = (*value.decode("latin-1").split(" ", 2), "", "")[:3]
    code = CODES.get(int(number)) if number.isdecimal() else None
    is_unrun = run == Executed.NO.value
    if code is None:  # of a later build
        code = ResultCode.NO_ENGINE if is_unrun else ResultCode.UPSTREAM_BROKEN
    return Refusal(
        code,
        detail,
        Executed.NO if is_unrun else Executed.UNKNOWN,
        _retry_after_s(found.get(names.RETRY_AFTER)),
    )


def _retry_after_s(value: bytes | None) -> float | None:
    try:
        return float(value) if value is not None else None
    except ValueError:
        return None  # only a hint for the client
