"""An engine with a cold-start period, which crashes if overloaded while it is cold."""

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
        Requests within a second above which it crashes while it is cold.
    cold_until : float
        End of the cold period, on trio's clock in seconds.
    peak_cold_per_s : int
        Largest number of requests received within a second while cold.
    """

    max_per_s: float = 20.0
    cold_until: float = 0.0
    peak_cold_per_s: int = 0
    _recent_arrivals: deque[float] = field(default_factory=deque)

    def start_cold(self, seconds: float) -> None:
        """Start a cold period of `seconds`."""
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
        """Count a request that arrives while cold; crash above `max_per_s`."""
        if now >= self.cold_until:
            return
        self._recent_arrivals.append(now)
        while now - self._recent_arrivals[0] > WINDOW_S:
            self._recent_arrivals.popleft()
        self.peak_cold_per_s = max(self.peak_cold_per_s, len(self._recent_arrivals))
        if len(self._recent_arrivals) > self.max_per_s:
            self.crashed.set()
