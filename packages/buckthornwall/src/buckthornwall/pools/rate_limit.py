"""The rate of requests that an upstream names for all instances together."""

import math

__all__ = ["UNLIMITED", "RateLimit"]

UNLIMITED = math.inf


class RateLimit:
    """What one upstream last said of the requests a second that it takes.

    Attributes
    ----------
    per_s : float
        Requests a second from all instances; infinite without a limit.
    """

    def __init__(self) -> None:
        self.per_s = UNLIMITED

    def note_named(self, per_s: float) -> bool:
        """Record what an answer of the upstream says; tell whether it is new."""
        is_new = per_s != self.per_s
        self.per_s = per_s
        return is_new
