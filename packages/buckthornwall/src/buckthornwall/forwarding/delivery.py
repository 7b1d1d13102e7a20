"""What the caller of a request has got so far."""

from buckthornwall.http1 import Answer
from buckthornwall.utils import Clock

from .events import EventJoiner
from .reply import Reply

__all__ = ["Delivery"]


class Delivery:
    """The answer to one request, joined from the runs that make it.

    Nothing is sent before the first whole event, so that a run that breaks off
    earlier leaves no trace at the caller.

    Parameters
    ----------
    answer
        The caller's answer.
    clock
        Source of time.
    resume_after
        Id of the last event that the caller has from an earlier request.
    """

    def __init__(self, answer: Answer, clock: Clock, resume_after: str) -> None:
        self.answer = answer
        self.clock = clock
        self.joiner = EventJoiner(resume_after)
        self.first_sent_at: float | None = None
        self.last_sent_at: float | None = None
        self.longest_pause_s = 0.0
        self.done = False
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the caller has got any of the answer."""
        return self.answer.started

    async def send_complete(self, reply: Reply, body: bytes) -> None:
        """Deliver a whole reply."""
        self.first_sent_at = self.clock.now()
        self.status = reply.status
        await self.answer.whole(reply.status, reply.headers, body)
        self.done = True

    async def send_events(self, reply: Reply, data: bytes) -> int:
        """Deliver the events that `data` completes; return how many did."""
        before = self.joiner.event_count
        events = self.joiner.feed(data)
        if not events:
            return 0
        self._record_time()
        if self.answer.started:
            await self.answer.send(events)
        else:
            self.status = reply.status
            await self.answer.begin(reply.status, reply.headers, events)
        return self.joiner.event_count - before

    async def end(self, reply: Reply) -> None:
        """Deliver the end of a whole stream."""
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
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_sent_at)
        self.last_sent_at = now
