"""An upstream that signs its answers, states what it did not run, and counts."""

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

from .wire import PREFIX, reply_headers

__all__ = ["Upstream"]

LIMITS = ServerLimits(65_536, 8 * 2**20, 10.0, 5.0)
EVENTS = 6
ONCE = (b"/once/", b"/order/")


@dataclass
class Upstream:
    """One engine or service.

    Attributes
    ----------
    id : str
        The instance that it is; calls that expect another get 421.
    work_s : float
        Seconds of a whole answer, or before the first event.
    event_s : float
        Seconds between events.
    sheds : bool
        Whether it refuses, and says that it did not run.
    runs, runs_once : Counter
        Runs by request id: all, and those that may not be repeated.
    seen : list
        Headers of each arrival, names in lower case.
    rate_limit : str
        The requests a second that it names in its answers, or ''.
    on_arrival : callable
        Is told of the id of each request that was not sent to another upstream.
    """

    id: str
    work_s: float = 0.01
    event_s: float = 0.01
    slots: int = 8
    sheds: bool = False
    runs: Counter = field(default_factory=Counter)
    runs_once: Counter = field(default_factory=Counter)
    seen: list[dict[bytes, bytes]] = field(default_factory=list)
    running: int = 0
    cut_after: int = 0  # events after which a stream breaks off, 0 for never
    rate_limit: str = ""
    on_arrival: Callable[[str], None] = lambda request: None

    async def run(self, address: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        server = HttpServer(TrioClock(), lambda: LIMITS, self._handle)
        await server.run(address, task_status=task_status)

    async def _handle(self, incoming: IncomingRequest, answer: ResponseWriter) -> None:
        found = dict(incoming.headers)
        self.seen.append(found)
        request_id = found.get(b"x-buckthornwall-attempt-id", b"")
        common = reply_headers(request_id, self.running, 0, self.slots)
        if self.rate_limit:
            common.append((b"Server-Limit", self.rate_limit.encode()))
        expected = found.get(b"x-buckthornwall-expect-instance", self.id.encode())
        if expected != self.id.encode():
            await answer.send_complete(421, common, b"")
            return
        self.on_arrival(request_id.decode())
        if self.sheds:
            await answer.send_complete(
                503, [*common, (PREFIX + b"Not-Executed", b"1")], b""
            )
            return
        self.runs[request_id.decode()] += 1
        if incoming.target.startswith(ONCE):
            self.runs_once[request_id.decode()] += 1
        self.running += 1
        signed = [*common, (PREFIX + b"Response-Seal", b"seal-of-" + request_id)]
        try:
            await trio.sleep(self.work_s)
            if b"x-buckthornwall-token-count" in found:
                await self._stream(found, answer, signed)
            else:
                await answer.send_complete(200, signed, b"answer-to-" + request_id)
        finally:
            self.running -= 1

    async def _stream(
        self,
        found: dict[bytes, bytes],
        answer: ResponseWriter,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        first = int(found.get(b"last-event-id", b"0")) + 1
        await answer.begin(200, [*headers, (b"Content-Type", b"text/event-stream")])
        for made, number in zip(
            itertools.count(), range(first, EVENTS + 1), strict=False
        ):
            if self.cut_after and made >= self.cut_after:
                return  # an answer that is not ended breaks off
            await answer.send(b"id: %d\ndata: word-%d\n\n" % (number, number))
            await trio.sleep(self.event_s)
        await answer.end()
