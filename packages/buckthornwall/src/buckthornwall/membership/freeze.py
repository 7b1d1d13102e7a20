"""Notice that this process was stopped and woke up late."""

from collections.abc import Callable

from buckthornwall.utils import Clock

__all__ = ["FreezeDetector"]


class FreezeDetector:
    """Compare successive readings of the clock.

    A task checks several times within `threshold_s`; a longer gap between two
    checks means that the process did not run, and that whatever it knew of
    others is old. Decisions check too, so that the first thing done after
    waking is to notice.

    Parameters
    ----------
    clock
        Source of monotonic time, which runs on while a process is stopped.
    threshold_s
        The gap in seconds that counts as a freeze.
    """

    def __init__(self, clock: Clock, threshold_s: float) -> None:
        self.clock = clock
        self.threshold_s = threshold_s
        self.last_check = clock.now()
        self.listeners: list[Callable[[], None]] = []
        self.count = 0

    def check(self) -> bool:
        """Note the time; on a gap tell every listener and return True."""
        now = self.clock.now()
        gap = now - self.last_check
        self.last_check = now
        if gap <= self.threshold_s:
            return False
        self.count += 1
        for listener in self.listeners:
            listener()
        return True
