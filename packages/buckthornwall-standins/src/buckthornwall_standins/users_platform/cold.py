"""An engine that is cold for a while, and crashes where it is overrun meanwhile."""

from collections import deque
from dataclasses import dataclass, field

import trio
from buckthornwall.http1 import IncomingRequest, ResponseWriter

from .crashable import CrashableUpstream
from .headers import PREFIX

__all__ = ["ColdEngine"]

EXPECT_INSTANCE_HEADER = PREFIX.lower() + b"expect-instance"
WINDOW_S = 1.0


@dataclass
class ColdEngine(CrashableUpstream):
    """One incarnation of an engine.

    Attributes
    ----------
    max_per_s : float
        Requests in a second above which it crashes while it is cold.
    cold_until : float
        When it is cold no longer, in seconds.
    peak_cold_per_s : int
        The most requests that came within a second while it was cold.
    """

    max_per_s: float = 20.0
    cold_until: float = 0.0
    peak_cold_per_s: int = 0
    _recent_arrivals: deque[float] = field(default_factory=deque)

    def start_cold(self, seconds: float) -> None:
        """Be cold from now on, for so many seconds."""
        self.cold_until = trio.current_time() + seconds
        self._recent_arrivals.clear()

    async def _handle(
        self, incoming: IncomingRequest, response: ResponseWriter
    ) -> None:
        expected = dict(incoming.headers).get(EXPECT_INSTANCE_HEADER, self.id.encode())
        if expected == self.id.encode():
            self._record_request(trio.current_time())
        await super()._handle(incoming, response)

    def _record_request(self, now: float) -> None:
        """Count a request; crash where there are too many."""
        if now >= self.cold_until:
            return
        self._recent_arrivals.append(now)
        while now - self._recent_arrivals[0] > WINDOW_S:
            self._recent_arrivals.popleft()
        self.peak_cold_per_s = max(self.peak_cold_per_s, len(self._recent_arrivals))
        if len(self._recent_arrivals) > self.max_per_s:
            self.crashed.set()
