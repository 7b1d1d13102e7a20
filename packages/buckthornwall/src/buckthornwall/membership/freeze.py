"""Detection of freezes: times during which this process did not run."""

from collections.abc import Callable

from buckthornwall.utils import Clock

__all__ = ["FreezeDetector"]


class FreezeDetector:
    """Detects freezes by the gap between successive readings of the clock.

    A task checks several times within `threshold_s`. A longer gap between two checks
    means that the process did not run and that its state of other instances is out
    of date. Decisions check too, so that a freeze is detected before anything else
    is done after it.

    Parameters
    ----------
    clock
        Source of monotonic time that also advances while the process is stopped.
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
        """Read the clock; after a freeze call every listener and return True."""
        now = self.clock.now()
        gap = now - self.last_check
        self.last_check = now
        if gap <= self.threshold_s:
            return False
        self.count += 1
        for listener in self.listeners:
            listener()
        return True
