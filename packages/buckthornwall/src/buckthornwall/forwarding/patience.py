"""Waits for an upstream, with reviews of whether to wait longer."""

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

__all__ = ["Patience", "Reviews"]

# Interval at which a wait past its timeout is reviewed.
REVIEW_INTERVAL_S = 0.1
# A wait is reviewed before its timeout only after this time without data.
MIN_SILENT_S = 0.1

Received = TypeVar("Received")


class Reviews:
    """The current waits of all attempts that may be given up."""

    def __init__(self) -> None:
        self.waits: set[Patience] = set()

    def review_now(self) -> None:
        """Review the waits of silent attempts now, not at their timeouts."""
        for wait in self.waits:
            wait.review_now()


class Patience:
    """A timeout that is extended while the attempt should not be given up.

    Parameters
    ----------
    timeout_s
        Seconds until the first review; None waits for ever.
    should_give_up
        Returns whether to end the attempt, when asked in a review.
    reviews
        Where the waits are listed while they last.
    """

    def __init__(
        self,
        timeout_s: float | None,
        should_give_up: Callable[[], bool],
        reviews: Reviews,
    ) -> None:
        self.should_give_up = should_give_up
        self.reviews = reviews
        self._since = trio.current_time()
        self._timeout_at = self._since + (math.inf if timeout_s is None else timeout_s)
        self._scope: trio.CancelScope | None = None

    async def wait(self, receive: Callable[[], Awaitable[Received]]) -> Received:
        """Return the result of `receive`, which must be safe to cancel and repeat.

        Raises
        ------
        trio.TooSlowError
            If the attempt is given up.
        """
        if self._timeout_at == math.inf:
            return await receive()
        next_at = self._timeout_at
        while True:
            self._scope = trio.CancelScope(deadline=next_at)
            self.reviews.waits.add(self)
            try:
                with self._scope:
                    return await receive()
            finally:
                self.reviews.waits.discard(self)
            if self.should_give_up():
                raise trio.TooSlowError
            next_at = max(self._timeout_at, trio.current_time() + REVIEW_INTERVAL_S)

    def review_now(self) -> None:
        """Review this wait, which has a timeout, if it has been silent for a moment."""
        if trio.current_time() - self._since >= MIN_SILENT_S:
            self._scope.cancel()
