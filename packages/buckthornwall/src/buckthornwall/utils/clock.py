"""The clock that every decision is given, so that tests can drive it."""

from typing import Protocol

import trio

__all__ = ["Clock", "TrioClock"]


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Return monotonic seconds from an arbitrary start."""


class TrioClock:
    """The running trio clock: real in the daemon, mocked under `MockClock`."""

    def now(self) -> float:
        """Return monotonic seconds from an arbitrary start."""
        return trio.current_time()
