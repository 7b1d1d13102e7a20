"""Exponential backoff with full jitter.

References
----------
.. [1] Brooker, M., "Exponential Backoff And Jitter", AWS Architecture Blog,
   2015.
"""

import random

__all__ = ["Backoff"]


class Backoff:
    """Delays that double up to a limit, each drawn evenly below its bound.

    Parameters
    ----------
    first_s, limit_s
        Bound of the first delay and of any delay, in seconds.
    """

    def __init__(self, first_s: float, limit_s: float) -> None:
        self.first_s = first_s
        self.limit_s = limit_s
        self.bound_s = first_s

    def reset(self) -> None:
        """Start again from the first bound, after a success."""
        self.bound_s = self.first_s

    def next_delay(self) -> float:
        """Return the seconds to wait before the next try."""
        delay = random.uniform(self.bound_s / 4, self.bound_s)
        self.bound_s = min(self.limit_s, self.bound_s * 2)
        return delay
