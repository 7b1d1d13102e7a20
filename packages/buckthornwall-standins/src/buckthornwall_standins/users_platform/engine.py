"""A real-time model engine that prefills prompts in chunks, by priority."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio
from buckthornwall.http1 import (
    HttpServer,
    IncomingRequest,
    ResponseWriter,
    ServerLimits,
)
from buckthornwall.utils import TrioClock

from .headers import PREFIX, make_response_headers

__all__ = ["Engine"]

LIMITS = ServerLimits(65_536, 8 * 2**20, 10.0, 5.0)
CHUNK_TOKENS = 2048
DEFAULT_PRIORITY = b"5"


@dataclass(eq=False)
class _PrefillJob:
    """A prompt that waits for its prefill; `segments` gives tokens by segment."""

    pending_prefill_tokens: int
    segments: dict[bytes, int]
    is_prefilled: trio.Event = field(default_factory=trio.Event)
    is_abandoned: bool = False


@dataclass
class Engine:
    """One engine that runs up to `slots` requests at a time.

    Attributes
    ----------
    tokens_per_s : float
        Prefilled prompt tokens per second.
    event_s : float
        Seconds between events of a stream.
    cached : set
        Prompt segments in its prefix cache.
    """

    id: str
    tokens_per_s: float = 20_000.0
    event_s: float = 0.04
    slots: int = 32
    running: int = 0
    cached: set[bytes] = field(default_factory=set)
    _waiting: list[tuple[int, int, _PrefillJob]] = field(default_factory=list)
    _arrival_numbers: itertools.count = field(default_factory=itertools.count)
    _changed: trio.Event = field(default_factory=trio.Event)

    async def run(self, address: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        server = HttpServer(TrioClock(), lambda: LIMITS, self._handle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._prefill)
            await server.run(address, task_status=task_status)

    async def _prefill(self) -> None:
        while True:
            while self._waiting and self._waiting[0][2].is_abandoned:
                heapq.heappop(self._waiting)
            if not self._waiting or self.running >= self.slots:
                self._changed = trio.Event()
                await self._changed.wait()
                continue
            prompt = self._waiting[0][2]
            chunk_tokens = min(prompt.pending_prefill_tokens, CHUNK_TOKENS)
            await trio.sleep(chunk_tokens / self.tokens_per_s)
            prompt.pending_prefill_tokens -= chunk_tokens
            if not prompt.pending_prefill_tokens:
                self._waiting = [e for e in self._waiting if e[2] is not prompt]
                heapq.heapify(self._waiting)
                self.cached.update(prompt.segments)
                prompt.is_prefilled.set()

    async def _handle(
        self, incoming: IncomingRequest, response: ResponseWriter
    ) -> None:
        request_headers = dict(incoming.headers)
        rank = int(
            request_headers.get(b"x-buckthornwall-request-priority", DEFAULT_PRIORITY)
        )
        async with self._queue_prompt(rank, _segments(request_headers)) as prompt:
            await prompt.is_prefilled.wait()
        self.running += 1
        try:
            await self._stream(request_headers, response)
        finally:
            self.running -= 1
            self._changed.set()

    @asynccontextmanager
    async def _queue_prompt(
        self, rank: int, segments: dict[bytes, int]
    ) -> AsyncIterator[_PrefillJob]:
        pending_prefill = sum(
            n for segment, n in segments.items() if segment not in self.cached
        )
        prompt = _PrefillJob(max(1, pending_prefill), segments)
        heapq.heappush(self._waiting, (rank, next(self._arrival_numbers), prompt))
        self._changed.set()
        try:
            yield prompt
        finally:
            prompt.is_abandoned = True

    async def _stream(
        self, request_headers: dict[bytes, bytes], response: ResponseWriter
    ) -> None:
        request = request_headers[b"x-buckthornwall-attempt-id"]
        events = int(request_headers[b"x-buckthornwall-token-count"].partition(b",")[2])
        headers = [
            *make_response_headers(
                request, self.running, len(self._waiting), self.slots
            ),
            (PREFIX + b"Response-Seal", b"seal-of-" + request),
            (b"Content-Type", b"text/event-stream"),
        ]
        await response.begin(200, headers)
        for number in range(1, events + 1):
            await response.send(b"id: %d\ndata: w\n\n" % number)
            await trio.sleep(self.event_s)
        await response.end()


def _segments(request_headers: dict[bytes, bytes]) -> dict[bytes, int]:
    """Return the token counts of a prompt by segment."""
    entries = request_headers[b"x-buckthornwall-prompt-prefix"].split(b",")
    pairs = (entry.partition(b":") for entry in entries)
    return {segment: int(tokens) for segment, _, tokens in pairs}
