"""The response that the client of a request has received so far."""

from collections.abc import Awaitable, Callable

from buckthornwall.http1 import BodyFraming, ResponseWriter
from buckthornwall.utils import Clock

from .events import EventJoiner
from .reply import Reply

__all__ = ["Delivery"]


class Delivery:
    """The response to one request, joined from one or more attempts.

    Nothing is sent before the first complete event, so that an attempt that fails
    earlier is not visible to the client.

    Parameters
    ----------
    answer
        The response to the client.
    clock
        Source of time.
    resume_after
        Id of the last event that the client has from an earlier request.

    Attributes
    ----------
    framing : BodyFraming or None
        Framing of the last reply, None before the first.
    on_begin : callable
        Called once, before the first part of the response is sent.
    on_first_event : callable
        Called once with its reply, before the first event is sent.
    """

    def __init__(self, answer: ResponseWriter, clock: Clock, resume_after: str) -> None:
        self.answer = answer
        self.clock = clock
        self.joiner = EventJoiner(resume_after)
        self.first_sent_at: float | None = None
        self.last_sent_at: float | None = None
        self.longest_pause_s = 0.0
        self.done = False
        self.status = 0
        self.framing: BodyFraming | None = None
        self.on_begin: Callable[[], None] = lambda: None
        self.on_first_event: Callable[[Reply], Awaitable[None]] = _ignore

    @property
    def started(self) -> bool:
        """Whether any of the response has been sent to the client."""
        return self.answer.started

    async def send_complete(self, reply: Reply, body: bytes) -> None:
        """Send a complete reply to the client."""
        self._record_time()
        self.status = reply.status
        await self.answer.send_complete(reply.status, reply.headers, body)
        self.done = True

    async def send_events(self, reply: Reply, data: bytes) -> int:
        """Send the events that `data` completes; return their number."""
        before = self.joiner.event_count
        events = self.joiner.feed(data)
        if not events:
            return 0
        if not self.answer.started:
            await self.on_first_event(reply)
        self._record_time()
        if self.answer.started:
            await self.answer.send(events)
        else:
            self.status = reply.status
            await self.answer.begin(reply.status, reply.headers, events)
        return self.joiner.event_count - before

    async def end(self, reply: Reply) -> None:
        """Send the end of a complete stream."""
        rest = self.joiner.finish()
        if not self.answer.started:
            self.status = reply.status
            await self.answer.begin(reply.status, reply.headers)
        await self.answer.end(rest)
        self.done = True

    def _record_time(self) -> None:
        now = self.clock.now()
        if self.first_sent_at is None:
            self.first_sent_at = now
            self.on_begin()
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_sent_at)
        self.last_sent_at = now


async def _ignore(reply: Reply) -> None:
    pass
