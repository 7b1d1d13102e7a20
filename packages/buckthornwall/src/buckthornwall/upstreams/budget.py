"""A retry budget: a token bucket filled by a share of the traffic.

References
----------
.. [1] Beyer, B. et al. (eds.), "Site Reliability Engineering", chapter 21,
   O'Reilly, 2016.
"""

__all__ = ["RetryBudget"]

ROUNDING_TOLERANCE = 1e-9  # ten tenths added up are a little less than one


class RetryBudget:
    """Allows retries as a share of first attempts, with a small reserve.

    Parameters
    ----------
    ratio
        Retries earned by each first attempt.
    reserve
        Most retries that can be saved up.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.balance = reserve

    def earn(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def spend(self) -> bool:
        """Take one retry; False if there is none left."""
        if self.balance < 1 - ROUNDING_TOLERANCE:
            return False
        self.balance -= 1
        return True
