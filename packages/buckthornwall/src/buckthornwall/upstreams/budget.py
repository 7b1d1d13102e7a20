"""A retry budget: a token bucket that each first attempt refills by a fraction.

References
----------
.. [1] Beyer, B. et al. (eds.), "Site Reliability Engineering", chapter 21,
   O'Reilly, 2016.
"""

__all__ = ["RetryBudget"]

ROUNDING_TOLERANCE = 1e-9  # the sum of ten times 0.1 is slightly less than 1


class RetryBudget:
    """Allow retries as a fraction of first attempts, with a small reserve.

    Parameters
    ----------
    ratio
        Retries added to the balance by each first attempt.
    reserve
        Maximum and initial balance, in retries.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.balance = reserve

    def earn(self) -> None:
        """Record a first attempt."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def take_back(self) -> None:
        """Take back the record of a first attempt."""
        self.balance = max(0.0, self.balance - self.ratio)

    def spend(self) -> bool:
        """Take one retry from the balance; return False if none is left."""
        if self.balance < 1 - ROUNDING_TOLERANCE:
            return False
        self.balance -= 1
        return True
