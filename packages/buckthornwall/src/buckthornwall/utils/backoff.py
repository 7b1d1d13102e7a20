"""Exponential backoff with jitter.

References
----------
.. [1] Brooker, M., "Exponential Backoff And Jitter", AWS Architecture Blog,
   2015.
"""

import random

__all__ = ["Backoff"]


class Backoff:
    """Random delays below a bound that doubles up to a limit.

    Each delay is uniform between a quarter of its bound and the bound.

    Parameters
    ----------
    first_s, limit_s
        Bound of the first delay, and limit of the bound, in seconds.
    """

    def __init__(self, first_s: float, limit_s: float) -> None:
        self.first_s = first_s
        self.limit_s = limit_s
        self.bound_s = first_s

    def reset(self) -> None:
        """Return to the first bound; call this after a success."""
        self.bound_s = self.first_s

    def next_delay(self) -> float:
        """Return the seconds to wait before the next attempt, and double the bound."""
        delay = random.uniform(self.bound_s / 4, self.bound_s)
        self.bound_s = min(self.limit_s, self.bound_s * 2)
        return delay
