"""Memory that was held for clients goes back to the system."""

from collections.abc import Callable

from buckthornwall.telemetry import log_event

from .memory_budget import MemoryBudget

__all__ = ["FreedMemory"]

# Releasing takes milliseconds, in which nothing else runs.
MIN_FREED_BYTES = 4 * 2**20


class FreedMemory:
    """Releases memory once much less is held than before.

    Parameters
    ----------
    budget
        The account of what is held.
    release
        Gives freed memory back to the system.
    """

    def __init__(self, budget: MemoryBudget, release: Callable[[], bool]) -> None:
        self.budget = budget
        self.release = release

    def review(self) -> None:
        """Release memory if enough was freed since the last time."""
        freed = self.budget.recent_peak_bytes - self.budget.used_bytes
        if freed < MIN_FREED_BYTES:
            return
        self.budget.recent_peak_bytes = self.budget.used_bytes
        was_any = self.release()
        log_event("memory_released", freed_bytes=freed, was_any=was_any)
