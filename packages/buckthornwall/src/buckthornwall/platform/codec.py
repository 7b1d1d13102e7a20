"""Converts requests and responses from and to the platform's headers."""

import math

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.forwarding import AttemptContext, Reply
from buckthornwall.http1 import IncomingRequest, ResponseHead
from buckthornwall.pools import (
    MAX_SLOWDOWN,
    LoadReport,
    Notice,
    Slowdown,
    UpstreamEntry,
)
from buckthornwall.routing import (
    MAX_TOKENS,
    PromptSegment,
    PromptShape,
    RoutedRequest,
)
from buckthornwall.utils import ModelId

from . import names

__all__ = ["PlatformCodec", "decode_notice", "decode_request"]

HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
LOWEST_PRIORITY = 9
MS_PER_S = 1000.0
PERCENT = 100.0
# Counts of a load report; a slowdown in percent may follow.
LOAD_COUNTS = 3
MAX_LOAD_COUNT = 1_000_000
MAX_ID_BYTES = 128
MAX_EVENT_ID_BYTES = 1024

Headers = list[tuple[bytes, bytes]]


def decode_request(incoming: IncomingRequest) -> RoutedRequest:
    """Return a caller's request as the type of this project.

    Raises
    ------
    Refusal
        MALFORMED_BODY if a header that the router relies on is not valid.
    """
    found = dict(incoming.headers)
    request_id = found.get(names.REQUEST_ID, b"")
    if not 0 < len(request_id) <= MAX_ID_BYTES:
        raise Refusal(ResultCode.MALFORMED_BODY, "request id")
    target = incoming.target
    return RoutedRequest(
        id=request_id.decode("latin-1"),
        method=incoming.method,
        target=target,
        host=_host(found.get(b"host", b"")),
        path=target.partition(b"?")[0].decode("latin-1"),
        headers=_forwarded_headers(incoming.headers),
        body=incoming.body,
        received_at=incoming.received_at,
        key=found.get(names.KEY, b"").decode("latin-1"),
        client_timeout_s=_timeout_s(found.get(names.DEADLINE)),
        prompt=_prompt(found),
        resume_after=_event_id(incoming.headers),
        resumes=_resumed_request(incoming.headers),
    )


def _event_id(headers: Headers) -> str:
    return _single(headers, names.LAST_EVENT_ID, MAX_EVENT_ID_BYTES)


def _resumed_request(headers: Headers) -> str:
    return _single(headers, names.RESUMES, MAX_ID_BYTES)


def _single(headers: Headers, name: bytes, max_bytes: int) -> str:
    """Return the value of a header, '' without one.

    Raises
    ------
    Refusal
        MALFORMED_BODY if there are several values, or one that is too long.
    """
    values = {value.strip() for key, value in headers if key == name}
    value = next(iter(values), b"")
    if len(values) > 1 or len(value) > max_bytes:
        raise Refusal(ResultCode.MALFORMED_BODY, name.decode())
    return value.decode("latin-1")


def _host(value: bytes) -> str:
    return value.partition(b":")[0].decode("latin-1").lower()


def _timeout_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value) / MS_PER_S)
    except ValueError as error:
        raise Refusal(ResultCode.MALFORMED_BODY, "deadline") from error


def _forwarded_headers(headers: Headers) -> Headers:
    """Return the caller's headers that are forwarded to the upstream unchanged."""
    dropped = names.HOP_BY_HOP | names.ROUTER_ONLY | _named_by_connection(headers)
    return [(name, value) for name, value in headers if name not in dropped]


def _named_by_connection(headers: Headers) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }


def _prompt(found: dict[bytes, bytes]) -> PromptShape | None:
    counts = found.get(names.TOKEN_COUNT)
    if counts is None:
        return None
    try:
        tokens_in, _, tokens_out = counts.partition(b",")
        return PromptShape(
            model=ModelId(found.get(names.MODEL, b"").decode("latin-1")),
            prompt_tokens=_token_count(tokens_in),
            max_output_tokens=_token_count(tokens_out or b"0"),
            segments=_segments(found.get(names.PROMPT_SEGMENTS, b"")),
        )
    except ValueError as error:
        raise Refusal(ResultCode.MALFORMED_BODY, "prompt sizes") from error


def _segments(value: bytes) -> tuple[PromptSegment, ...]:
    segments = []
    for entry in value.split(b","):
        if entry.strip():
            segment_id, _, tokens = entry.strip().rpartition(b":")
            name, count = segment_id.decode("latin-1"), _token_count(tokens)
            segments.append(PromptSegment(name, count))
    return tuple(segments)


def _token_count(value: bytes) -> int:
    """Return a number of tokens.

    Raises
    ------
    ValueError
        If `value` is no number from 0 to `MAX_TOKENS`.
    """
    count = int(value)
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f"not 0 to {MAX_TOKENS} tokens")
    return count


class PlatformCodec:
    """Encodes the headers of requests to upstreams, and decodes their responses."""

    def encode(self, request: RoutedRequest, context: AttemptContext) -> Headers:
        """Return the request headers of one attempt."""
        headers = list(request.headers)
        remaining_ms = max(1, int(context.remaining_s * MS_PER_S))
        headers.append((names.DEADLINE, b"%d" % remaining_ms))
        headers.append((names.EXPECT_INSTANCE, context.upstream.id.encode("latin-1")))
        if context.team:
            headers.append((names.TEAM, context.team.encode("latin-1")))
        if request.prompt is not None:
            priority = min(context.rank, LOWEST_PRIORITY)
            headers.append((names.PRIORITY, b"%d" % priority))
        if context.copy_from:
            headers.append((names.COPY_FROM, context.copy_from.encode("latin-1")))
        if context.resume_after:
            headers.append(
                (names.LAST_EVENT_ID, context.resume_after.encode("latin-1"))
            )
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        return headers

    def encode_identity_check(self, upstream: UpstreamEntry) -> Headers:
        """Return the headers of a health request that is meant for one upstream."""
        expected = upstream.id.encode("latin-1")
        return [
            (b"host", upstream.address.encode("latin-1")),
            (names.EXPECT_INSTANCE, expected),
        ]

    def decode_identity(
        self, head: ResponseHead, upstream: UpstreamEntry
    ) -> bool | None:
        """Return whether a health response is that of an upstream, None if unknown."""
        if head.status == HTTP_MISDIRECTED:
            return False
        instance = dict(head.headers).get(names.INSTANCE)
        return None if instance is None else instance.decode("latin-1") == upstream.id

    def decode_trailers(self, reply: Reply, trailers: Headers) -> Reply:
        """Return the reply: trailers of upstreams have no meaning."""
        return reply

    def decode(self, head: ResponseHead) -> Reply:
        """Return an upstream's response as the type of this project."""
        found = dict(head.headers)
        misdirected = head.status == HTTP_MISDIRECTED
        return Reply(
            status=head.status,
            headers=self._caller_headers(head.headers),
            request_id=found.get(names.REQUEST_ID, b"").decode("latin-1"),
            attested=names.SIGNATURE in found,
            not_run=misdirected or names.NOT_RUN in found,
            misdirected=misdirected,
            load=_load(found.get(names.LOAD)),
            rate_limit=_per_s(found.get(names.RATE_LIMIT)),
            brittle=_per_s(found.get(names.BRITTLE)),
            notice=decode_notice(head.status, found),
            idle_timeout_s=_idle_timeout(found.get(b"keep-alive", b"")),
            closes_connection=b"close" in found.get(b"connection", b"").lower(),
        )

    def _caller_headers(self, headers: Headers) -> Headers:
        dropped = names.HOP_BY_HOP | names.RELAY_ONLY | _named_by_connection(headers)
        return [(name, value) for name, value in headers if name not in dropped]


def _load(value: bytes | None) -> LoadReport | None:
    if value is None:
        return None
    counts, slowdown = value.split(b",")[:LOAD_COUNTS], value.split(b",")[LOAD_COUNTS:]
    try:
        running, waiting, slots = (int(part) for part in counts)
    except ValueError:
        return None  # only a hint; the counts of this instance apply
    if not all(0 <= count <= MAX_LOAD_COUNT for count in (running, waiting, slots)):
        return None
    return LoadReport(running, waiting, slots, _slowdown(slowdown))


def _slowdown(parts: list[bytes]) -> Slowdown | None:
    """Return a stated slowdown from percent, None if there is no valid one."""
    try:
        slowdown = float(parts[0]) / PERCENT
    except (IndexError, ValueError):
        return None
    is_valid = 1 / MAX_SLOWDOWN <= slowdown <= MAX_SLOWDOWN
    return Slowdown(slowdown) if is_valid else None


def _per_s(value: bytes | None) -> float | None:
    """Return a number a second that an upstream states, infinite if it does not.

    None stands for an invalid value, which neither sets nor ends a limit.
    """
    if value is None:
        return math.inf
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None


def decode_notice(status: int, found: dict[bytes, bytes]) -> Notice | None:
    """Return what an upstream states about itself in a response, None if nothing.

    Parameters
    ----------
    status
        Status of the response.
    found
        Headers of the response by name in lower case.
    """
    is_leaving = found.get(names.LEAVING) == b"1"
    is_unavailable = status == HTTP_UNAVAILABLE
    rest_s = _rest_s(found.get(names.RETRY_AFTER)) if is_unavailable else None
    return Notice(is_leaving, rest_s) if is_leaving or rest_s is not None else None


def _rest_s(value: bytes | None) -> float | None:
    """Return the rest that an upstream asks for, in seconds.

    None stands for no value, or one that is not a positive number of seconds.
    """
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0 < seconds < math.inf else None


def _idle_timeout(value: bytes) -> float | None:
    for part in value.lower().split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
