"""Forecast of the pause-sensitive streams that a pool will run.

An engine that is reserved now has first to prefill what it was sent before. So engines
are reserved for the streams that are expected by then, not for those that run now: a
jump that is noticed only when the engines reserved before it are full would meet
engines with a backlog.
"""

import math
from collections import deque

__all__ = ["StreamForecast"]

# How far ahead to look: an engine with a usual backlog, up to about a second of
# prefill, has read it by then.
HORIZON_S = 1.0
# Growth is taken over this time: longer than reports are old, so that it is not
# that of one report, and far shorter than streams last.
GROWTH_WINDOW_S = 0.5
# Interval between samples of the growth, in seconds.
SAMPLE_INTERVAL_S = 0.05
# Time constant with which a forecast decays. Streams come and go within seconds; a set
# that follows them at once would drain engines and fill them again each time.
DECAY_S = 2.0
# Streams that engines are reserved for, by each that runs: the most urgent streams may
# double before any engine can be cleared for them.
HEADROOM = 2.0


class StreamForecast:
    """Expected number of pause-sensitive streams of one pool; bounded state."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(
            maxlen=math.ceil(GROWTH_WINDOW_S / SAMPLE_INTERVAL_S) + 1
        )
        self._forecast = 0.0
        self._at = -math.inf

    def update(self, running: float, now: float) -> float:
        """Return the number of streams to reserve engines for.

        Parameters
        ----------
        running
            Streams that run now, as far as known.
        now
            The time in seconds. A clock that steps back makes the forecast start
            again from what runs.
        """
        if now < self._at:
            self._samples.clear()
            self._forecast = 0.0
            self._at = -math.inf
        expected = HEADROOM * running + HORIZON_S * self._growth(running, now)
        decayed = self._forecast * math.exp((self._at - now) / DECAY_S)
        self._forecast = max(expected, decayed)
        self._at = now
        return self._forecast

    def assume(self, streams: float, now: float) -> None:
        """Expect at least so many streams, before any is known."""
        if streams > self._forecast:
            self._forecast, self._at = streams, now

    def _growth(self, running: float, now: float) -> float:
        """Return the growth in streams a second, at least 0."""
        while self._samples and now - self._samples[0][0] > 2 * GROWTH_WINDOW_S:
            self._samples.popleft()
        if not self._samples or now - self._samples[-1][0] >= SAMPLE_INTERVAL_S:
            self._samples.append((now, running))
        at, before = self._samples[0]
        if now - at < GROWTH_WINDOW_S:
            return 0.0
        return max(0.0, (running - before) / (now - at))
