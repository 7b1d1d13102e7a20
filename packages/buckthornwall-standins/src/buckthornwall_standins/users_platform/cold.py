"""An engine that is cold for a while, and crashes where it is overrun meanwhile."""

from collections import deque
from dataclasses import dataclass, field

import trio
from buckthornwall.http1 import IncomingRequest, ResponseWriter

from .ending import EndingUpstream
from .wire import PREFIX

__all__ = ["ColdEngine"]

EXPECTED = PREFIX.lower() + b"expect-instance"
WINDOW_S = 1.0


@dataclass
class ColdEngine(EndingUpstream):
    """One incarnation of an engine.

    Attributes
    ----------
    most_per_s : float
        Requests in a second above which it crashes while it is cold.
    cold_until : float
        When it is cold no longer, in seconds.
    most_seen : int
        The most requests that came within a second while it was cold.
    """

    most_per_s: float = 20.0
    cold_until: float = 0.0
    most_seen: int = 0
    _recent: deque[float] = field(default_factory=deque)

    def cool(self, seconds: float) -> None:
        """Be cold from now on, for so many seconds."""
        self.cold_until = trio.current_time() + seconds
        self._recent.clear()

    async def _handle(self, incoming: IncomingRequest, answer: ResponseWriter) -> None:
        expected = dict(incoming.headers).get(EXPECTED, self.id.encode())
        if expected == self.id.encode():
            self._count(trio.current_time())
        await super()._handle(incoming, answer)

    def _count(self, now: float) -> None:
        """Count a request; crash where there are too many."""
        if now >= self.cold_until:
            return
        self._recent.append(now)
        while now - self._recent[0] > WINDOW_S:
            self._recent.popleft()
        self.most_seen = max(self.most_seen, len(self._recent))
        if len(self._recent) > self.most_per_s:
            self.crashed.set()
