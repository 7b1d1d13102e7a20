"""A clock for trio that goes on while the machine is suspended."""

import time
from collections.abc import Callable

from trio.abc import Clock

__all__ = ["SuspensionClock", "suspended_s"]

# How often suspensions are looked for, and the shortest that counts, in seconds.
CHECK_INTERVAL_S = 0.05
MIN_SUSPENSION_S = 0.2


def suspended_s() -> float:
    """Return for how long the machine has been suspended since it started."""
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionClock(Clock):
    """The monotonic clock, and the time for which it stood still.

    Deadlines, ages of news and intervals rest on it: a machine that was suspended for
    seconds would else take what it knows for new, and callers for still waiting.

    Parameters
    ----------
    monotonic
        Returns seconds that leave suspensions out.
    read_suspended_s
        Returns the seconds of all suspensions so far.
    """

    def __init__(
        self,
        monotonic: Callable[[], float] = time.perf_counter,
        read_suspended_s: Callable[[], float] = suspended_s,
    ) -> None:
        self.monotonic = monotonic
        self.read_suspended_s = read_suspended_s
        self.on_resume: Callable[[float], None] = lambda seconds: None
        self._suspended_s = read_suspended_s()
        self._checked_at = monotonic()

    def start_clock(self) -> None:
        """Do nothing: the clock always runs."""

    def current_time(self) -> float:
        """Return seconds from an arbitrary start, suspensions included."""
        now = self.monotonic()
        if now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = now
            self._check_suspension()
        return now + self._suspended_s

    def _check_suspension(self) -> None:
        total_s = self.read_suspended_s()
        gap_s = total_s - self._suspended_s
        if gap_s >= MIN_SUSPENSION_S:
            self._suspended_s = total_s
            self.on_resume(gap_s)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self.current_time()
