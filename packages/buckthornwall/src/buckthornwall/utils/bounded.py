"""Complete responses over httpcore, of bounded size and duration."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import httpcore
import trio

__all__ = ["ReplyLimits", "request_bounded"]


@dataclass(frozen=True, slots=True)
class ReplyLimits:
    """Limits of a response: the bytes of its body, and the seconds until its end."""

    max_bytes: int
    timeout_s: float


async def request_bounded(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    *,
    limits: ReplyLimits,
    headers: Sequence[tuple[Any, Any]] = (),
    content: bytes = b"",
    extensions: Mapping[str, Any] | None = None,
) -> tuple[httpcore.Response, bytes]:
    """Return a response and its body.

    The timeouts of httpcore are for each read, so that a server that goes on sending
    exceeds none of them.

    Raises
    ------
    httpcore.ReadTimeout
        If the response is not complete in time.
    httpcore.RemoteProtocolError
        If its body is too large, or it is not valid HTTP.
    """
    body = bytearray()
    try:
        with trio.fail_after(limits.timeout_s):
            async with pool.stream(
                method, url, headers=headers, content=content, extensions=extensions
            ) as response:
                async for data in response.aiter_stream():
                    body += data
                    if len(body) > limits.max_bytes:
                        raise httpcore.RemoteProtocolError("body too large")
    except trio.TooSlowError as error:
        raise httpcore.ReadTimeout("response without end") from error
    return response, bytes(body)
