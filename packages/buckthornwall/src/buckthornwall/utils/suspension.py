"""A clock for trio that goes on while the machine is suspended."""

import time
from collections.abc import Callable

from trio.abc import Clock

__all__ = ["SuspensionClock", "suspended_s"]

# How often suspensions are looked for, and the shortest that counts, in seconds.
LOOK_S = 0.05
LEAST_S = 0.2


def suspended_s() -> float:
    """Return for how long the machine has been suspended since it started."""
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionClock(Clock):
    """The steady clock, and the time for which it stood still.

    Deadlines, ages of news and intervals rest on it: a machine that was suspended for
    seconds would else take what it knows for new, and callers for still waiting.

    Parameters
    ----------
    steady
        Returns seconds that leave suspensions out.
    read_suspended
        Returns the seconds of all suspensions so far.
    """

    def __init__(
        self,
        steady: Callable[[], float] = time.perf_counter,
        read_suspended: Callable[[], float] = suspended_s,
    ) -> None:
        self.steady = steady
        self.read_suspended = read_suspended
        self.on_resume: Callable[[float], None] = lambda seconds: None
        self._suspended_s = read_suspended()
        self._looked_at = steady()

    def start_clock(self) -> None:
        """Do nothing: the clock always runs."""

    def current_time(self) -> float:
        """Return seconds from an arbitrary start, suspensions included."""
        now = self.steady()
        if now - self._looked_at >= LOOK_S:
            self._looked_at = now
            self._look()
        return now + self._suspended_s

    def _look(self) -> None:
        found = self.read_suspended()
        gap_s = found - self._suspended_s
        if gap_s >= LEAST_S:
            self._suspended_s = found
            self.on_resume(gap_s)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self.current_time()
