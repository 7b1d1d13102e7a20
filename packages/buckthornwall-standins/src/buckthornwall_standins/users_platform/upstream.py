"""An upstream that seals its responses, marks shed requests and counts runs.

Its responses state when it is leaving; those to requests that it sheds may ask for a
rest.
"""

import itertools
from collections import Counter
from collections.abc import Callable
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

__all__ = ["Upstream"]

LIMITS = ServerLimits(65_536, 8 * 2**20, 10.0, 5.0)
STREAM_EVENTS = 6
NON_RETRYABLE_PATHS = (b"/once/", b"/order/")


@dataclass
class Upstream:
    """One engine or service.

    Attributes
    ----------
    id : str
        Its instance id; requests that expect another id get status 421.
    work_s : float
        Seconds until the response, or until the first event of a stream.
    event_s : float
        Seconds between events of a stream.
    is_shedding : bool
        Whether it refuses requests with 503 and marks them as not executed.
    runs, non_retryable_runs : Counter
        Runs by request id: of all requests, and of those that may run only once.
    received_headers : list
        Headers of each received request, names in lower case.
    rate_limit : str
        Requests per second that it announces in its responses, or '' for none.
    is_leaving : bool
        Whether its responses state that it is leaving.
    retry_after : str
        Rest that it asks for when it sheds a request, or '' for none.
    on_arrival : callable
        Called with the id of each request, unless it expected another instance.
    on_notice : callable
        Called with the id of each request to which it states that it is leaving, or
        that it wants a rest.
    """

    id: str
    work_s: float = 0.01
    event_s: float = 0.01
    slots: int = 8
    is_shedding: bool = False
    runs: Counter = field(default_factory=Counter)
    non_retryable_runs: Counter = field(default_factory=Counter)
    received_headers: list[dict[bytes, bytes]] = field(default_factory=list)
    running: int = 0
    cut_after_events: int = 0  # events before a stream is cut off; 0 for no cut
    rate_limit: str = ""
    is_leaving: bool = False
    retry_after: str = ""
    on_arrival: Callable[[str], None] = lambda request: None
    on_notice: Callable[[str], None] = lambda request: None

    async def run(self, address: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        server = HttpServer(TrioClock(), lambda: LIMITS, self._handle)
        await server.run(address, task_status=task_status)

    async def _handle(
        self, incoming: IncomingRequest, response: ResponseWriter
    ) -> None:
        request_headers = dict(incoming.headers)
        self.received_headers.append(request_headers)
        request_id = request_headers.get(b"x-buckthornwall-attempt-id", b"")
        expected = request_headers.get(
            b"x-buckthornwall-expect-instance", self.id.encode()
        )
        if expected != self.id.encode():
            await response.send_complete(421, self._common_headers(request_id), b"")
            return
        self.on_arrival(request_id.decode())
        if self.is_shedding:
            await self._shed(request_id, response)
            return
        self.runs[request_id.decode()] += 1
        if incoming.target.startswith(NON_RETRYABLE_PATHS):
            self.non_retryable_runs[request_id.decode()] += 1
        self.running += 1
        try:
            await trio.sleep(self.work_s)
            signed = [
                *self._common_headers(request_id),
                (PREFIX + b"Response-Seal", b"seal-of-" + request_id),
            ]
            if self.is_leaving:
                self.on_notice(request_id.decode())
            if b"x-buckthornwall-token-count" in request_headers:
                await self._stream(request_headers, response, signed)
            else:
                await self._answer(request_id, response, signed)
        finally:
            self.running -= 1

    def _common_headers(self, request: bytes) -> list[tuple[bytes, bytes]]:
        """Return the headers of every response to a request."""
        headers = make_response_headers(request, self.running, 0, self.slots)
        if self.rate_limit:
            headers.append((b"Server-Limit", self.rate_limit.encode()))
        if self.is_leaving:
            headers.append((b"Server-Leaving", b"1"))
        return headers

    async def _shed(self, request: bytes, response: ResponseWriter) -> None:
        """Turn a request away, and ask for a rest if one is set."""
        headers = [*self._common_headers(request), (PREFIX + b"Not-Executed", b"1")]
        if self.retry_after:
            headers.append((b"Retry-After", self.retry_after.encode()))
        if self.retry_after or self.is_leaving:
            self.on_notice(request.decode())
        await response.send_complete(503, headers, b"")

    async def _answer(
        self,
        request: bytes,
        response: ResponseWriter,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Send the response to a request that is no stream."""
        await response.send_complete(200, headers, b"answer-to-" + request)

    async def _stream(
        self,
        request_headers: dict[bytes, bytes],
        response: ResponseWriter,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        first = int(request_headers.get(b"last-event-id", b"0")) + 1
        await response.begin(200, [*headers, (b"Content-Type", b"text/event-stream")])
        for sent, number in zip(
            itertools.count(), range(first, STREAM_EVENTS + 1), strict=False
        ):
            if self.cut_after_events and sent >= self.cut_after_events:
                return  # without an end the response is cut off
            await response.send(b"id: %d\ndata: word-%d\n\n" % (number, number))
            await trio.sleep(self.event_s)
        await response.end()
