"""A running quantile of positive figures, in a few bytes."""

__all__ = ["QuantileEstimate"]

# Part by which one sample moves an estimate at most. A hundred figures carry it from
# a guess to one twice as high; one wild sample moves it no further than any other.
RELATIVE_STEP = 0.03


class QuantileEstimate:
    """The value below which a given share of recent figures lies.

    Each sample moves the estimate by a fixed part up or down, whatever its size, so
    that a few stalls say as little as they should. Recent figures count most.

    Parameters
    ----------
    initial
        What is taken until figures say otherwise; positive.
    quantile
        The share of figures below, 0 to 1.
    """

    def __init__(self, initial: float, quantile: float) -> None:
        self.value = initial
        self.quantile = quantile
        self.count = 0

    def record(self, sample: float) -> None:
        """Take one sample."""
        self.count += 1
        if sample > self.value:
            self.value *= 1 + RELATIVE_STEP * self.quantile
        else:
            self.value /= 1 + RELATIVE_STEP * (1 - self.quantile)
