"""Streams from engines that speak the OpenAI-style API."""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from typing import Any

import httpcore
import msgspec
import trio

from buckthornwall.codes import ResultCode, UpstreamError
from buckthornwall.records import Upstream
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    TRANSPORT_ERRORS,
    AttemptId,
    Clock,
    ConfigItem,
    ConfigNamespace,
    Count,
    DecodingError,
    ReplyLimits,
    UpstreamId,
    decode_json,
    request_bounded,
)

__all__ = ["EngineClient", "ResponseListener", "UpstreamSettings"]

EVENT_END = b"\n\n"
DATA_PREFIX = b"data:"
DONE_DATA = b"[DONE]"
MAX_EVENT_BYTES = 2**20
MAX_ERROR_BYTES = 300
ERROR_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 65_536
# Chunks of other attempts in a row.
MAX_FOREIGN_CHUNKS = 1000
# Called with the upstream, the status and the headers of each response.
ResponseListener = Callable[[UpstreamId, int, list[tuple[bytes, bytes]]], None]
NOT_EXECUTED_STATUSES = {429, 503}  # sent before an engine starts the request


class UpstreamSettings(ConfigNamespace):
    """Settings of the connections to upstreams."""

    section = "upstreams"

    connect_s = ConfigItem(1.0, "Maximum seconds to connect.", minimum=0.05)
    stall_s = ConfigItem(
        5.0, "Seconds without a byte after which a stream has failed.", minimum=0.1
    )
    coalesce_ms = ConfigItem(
        15.0,
        "Milliseconds for which chunks are collected and then relayed together.",
        minimum=0,
        maximum=25,
    )
    retry_ratio = ConfigItem(
        0.1, "Retries allowed for each first attempt.", minimum=0, maximum=1
    )
    retry_reserve = ConfigItem(20.0, "Maximum of retries saved up.", minimum=1)
    max_connections = ConfigItem(2000, "Maximum connections to upstreams.", minimum=1)


def extract_sse_events(buffer: bytearray) -> list[bytes]:
    """Remove all complete server-sent events from `buffer` and return their data."""
    end = buffer.rfind(EVENT_END)
    if end < 0:
        return []
    complete = bytes(buffer[:end])
    del buffer[: end + len(EVENT_END)]
    return [
        event[len(DATA_PREFIX) :].strip()
        for event in complete.split(EVENT_END)
        if event.startswith(DATA_PREFIX)
    ]


class _LoadReport(msgspec.Struct):
    server_load: Count
    leaving: bool = False


class EngineClient:
    """Open streams to engines and classify their failures.

    Parameters
    ----------
    settings
        The ``[upstreams]`` section.
    pool
        Connection pool.
    clock
        Source of time.
    """

    def __init__(
        self,
        settings: UpstreamSettings,
        pool: httpcore.AsyncConnectionPool,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.clock = clock
        self.foreign_chunks = 0
        self.on_response: ResponseListener = lambda upstream, status, headers: None

    def _timeouts(self) -> dict[str, float]:
        return {
            "connect": self.settings.connect_s,
            "read": self.settings.stall_s,
            "write": self.settings.stall_s,
            "pool": self.settings.stall_s,
        }

    async def stream(
        self,
        engine: Upstream,
        path: str,
        body: dict[str, Any],
        attempt: AttemptId,
        traceparent: str | None,
    ) -> AsyncIterator[list[dict[str, Any]]]:
        """Yield the chunks of one attempt, those received together as one list.

        A chunk that does not carry the attempt's id is dropped. Ending the
        iteration early closes the connection, which cancels the engine's work.

        Raises
        ------
        UpstreamError
            `sent` says whether the engine may have started to execute the request.
        """
        headers = [
            (b"content-type", b"application/json"),
            (b"x-request-id", attempt.encode()),
        ]
        if traceparent:
            headers.append((b"traceparent", traceparent.encode()))
        response_context = self.pool.stream(
            "POST",
            f"http://{engine.address}{path}",
            headers=headers,
            content=msgspec.json.encode(body),
            extensions={"timeout": self._timeouts()},
        )
        try:
            async with AsyncExitStack() as stack:
                with trio.fail_after(self._head_timeout_s()):
                    response = await stack.enter_async_context(response_context)
                self.on_response(engine.id, response.status, response.headers)
                if response.status != 200:
                    await self._raise_for_status(response)
                async for chunks in self._iter_chunks(response, attempt):
                    yield chunks
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise UpstreamError(
                ResultCode.UPSTREAM_UNREACHABLE, repr(error), sent=False
            ) from error
        except TRANSPORT_ERRORS as error:
            raise UpstreamError(ResultCode.UPSTREAM_BROKEN, repr(error)) from error
        except trio.TooSlowError as error:
            raise UpstreamError(ResultCode.UPSTREAM_TIMEOUT, "no head") from error

    def _head_timeout_s(self) -> float:
        """Return how long a head may take, informational ones included."""
        return self.settings.connect_s + 3 * self.settings.stall_s

    async def _raise_for_status(self, response: httpcore.Response) -> None:
        text = (await _read_start(response)).decode(errors="replace")
        detail = f"status {response.status}: {text}"
        if response.status in NOT_EXECUTED_STATUSES:
            raise UpstreamError(ResultCode.UPSTREAM_UNREACHABLE, detail, sent=False)
        if 400 <= response.status < 500:
            raise UpstreamError(ResultCode.UPSTREAM_REJECTED, detail, sent=False)
        raise UpstreamError(ResultCode.UPSTREAM_BROKEN, detail)

    async def _iter_chunks(
        self, response: httpcore.Response, attempt: AttemptId
    ) -> AsyncIterator[list[dict[str, Any]]]:
        buffer = bytearray()
        foreign_before = self.foreign_chunks
        parts = aiter(response.aiter_stream())
        stalls_at = trio.current_time() + self.settings.stall_s
        while data := await _next_part(parts, stalls_at):
            buffer += data
            if len(buffer) > MAX_EVENT_BYTES:
                raise UpstreamError(ResultCode.UPSTREAM_GARBAGE, "event too long")
            if EVENT_END in buffer:
                stalls_at = trio.current_time() + self.settings.stall_s
            events = extract_sse_events(buffer)
            done = bool(events) and events[-1] == DONE_DATA
            chunks = self._decode(events[:-1] if done else events, attempt)
            if chunks:
                foreign_before = self.foreign_chunks
                yield chunks
            if self.foreign_chunks - foreign_before > MAX_FOREIGN_CHUNKS:
                raise UpstreamError(ResultCode.UPSTREAM_GARBAGE, "other attempts")
            if done:
                return
        raise UpstreamError(ResultCode.UPSTREAM_BROKEN, "stream ended before [DONE]")

    def _decode(self, events: list[bytes], attempt: AttemptId) -> list[dict[str, Any]]:
        chunks = []
        for event in events:
            try:
                chunk = decode_json(event)
            except DecodingError as error:
                raise UpstreamError(ResultCode.UPSTREAM_GARBAGE, str(error)) from error
            if not isinstance(chunk, dict):
                raise UpstreamError(
                    ResultCode.UPSTREAM_GARBAGE, "chunk is no JSON object"
                )
            if "error" in chunk:
                raise UpstreamError(ResultCode.UPSTREAM_BROKEN, str(chunk["error"]))
            if not str(chunk.get("id", "")).endswith(attempt):
                self.foreign_chunks += 1
                continue
            chunks.append(chunk)
        return chunks

    async def read_load(self, engine: Upstream) -> tuple[int, bool] | None:
        """Return the engine's number of requests and whether it is leaving.

        None if the engine could not be read.
        """
        try:
            _, content = await request_bounded(
                self.pool,
                "GET",
                f"http://{engine.address}/load",
                limits=ReplyLimits(MAX_REPORT_BYTES, self.settings.stall_s),
                extensions={"timeout": self._timeouts()},
            )
            report = decode_json(content, _LoadReport)
        except (*TRANSPORT_ERRORS, DecodingError) as error:
            log_event("load_not_read", "DEBUG", engine=engine.id, detail=error)
            return None
        return report.server_load, report.leaving


async def _next_part(parts: AsyncIterator[bytes], stalls_at: float) -> bytes:
    """Return the next bytes, or b'' at the end.

    Raises
    ------
    UpstreamError
        UPSTREAM_BROKEN at the time `stalls_at`: bytes may go on that end no event.
    """
    with trio.CancelScope(deadline=stalls_at):
        return await anext(parts, b"")
    raise UpstreamError(ResultCode.UPSTREAM_BROKEN, "no event in time")


async def _read_start(response: httpcore.Response) -> bytes:
    """Return the first bytes of a body, within `ERROR_TIMEOUT_S`."""
    start = bytearray()
    with trio.move_on_after(ERROR_TIMEOUT_S):
        async for data in response.aiter_stream():
            start += data
            if len(start) >= MAX_ERROR_BYTES:
                break
    return bytes(start[:MAX_ERROR_BYTES])
