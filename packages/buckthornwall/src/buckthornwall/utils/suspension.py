"""A clock for trio that includes the time for which the machine was suspended."""

import time
from collections.abc import Callable

from trio.abc import Clock

__all__ = ["SuspensionClock", "suspended_s"]

CHECK_INTERVAL_S = 0.05
# Shorter suspensions are ignored.
MIN_SUSPENSION_S = 0.2


def suspended_s() -> float:
    """Return for how many seconds the machine was suspended since it booted."""
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionClock(Clock):
    """A monotonic clock plus the time of the suspensions, which it leaves out.

    Deadlines, ages of reports and intervals are measured with it. Otherwise a machine
    that was suspended for seconds would take stale reports for fresh ones, and serve
    clients that have given up.

    Parameters
    ----------
    monotonic
        Returns monotonic seconds without suspensions.
    read_suspended_s
        Returns the total length of all suspensions so far, in seconds.

    Attributes
    ----------
    on_resume : Callable[[float], None]
        Called with the seconds of each suspension that is detected.
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
        """Return seconds from an arbitrary start, including suspensions."""
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
