"""The clock that is passed to all time-dependent code, so that tests can control it."""

from typing import Protocol

import trio

__all__ = ["Clock", "TrioClock"]


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Return monotonic seconds from an arbitrary start."""


class TrioClock:
    """The clock of the running trio loop: real in the daemon, `MockClock` in tests."""

    def now(self) -> float:
        """Return monotonic seconds from an arbitrary start."""
        return trio.current_time()
