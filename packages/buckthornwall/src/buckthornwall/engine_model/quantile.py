"""A running quantile of positive figures, in a few bytes."""

__all__ = ["QuantileEstimate"]

# Part by which one figure moves an estimate at most. A hundred figures carry it from
# a guess to one twice as high; one wild figure moves it no further than any other.
STEP = 0.03


class QuantileEstimate:
    """The value below which a given share of recent figures lies.

    Each figure moves the estimate by a fixed part up or down, whatever its size, so
    that a few stalls say as little as they should. Recent figures count most.

    Parameters
    ----------
    first
        What is taken until figures say otherwise; positive.
    share
        The share of figures below, 0 to 1.
    """

    def __init__(self, first: float, share: float) -> None:
        self.value = first
        self.share = share
        self.count = 0

    def note(self, figure: float) -> None:
        """Take one figure."""
        self.count += 1
        if figure > self.value:
            self.value *= 1 + STEP * self.share
        else:
            self.value /= 1 + STEP * (1 - self.share)
