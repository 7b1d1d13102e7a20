"""Streaming estimate of a quantile of positive samples, in constant memory."""

__all__ = ["QuantileEstimate"]

# Largest relative change by one sample. A hundred samples can move the estimate to
# about twice the initial value; an outlier moves it no further than any other sample.
RELATIVE_STEP = 0.03


class QuantileEstimate:
    """The value below which a given share of recent samples lies.

    Each sample moves the estimate up or down by a fixed ratio, whatever its size, so
    that outliers such as stalls have little effect. Recent samples weigh most.

    Parameters
    ----------
    initial
        Estimate without samples; positive.
    quantile
        Share of samples below the estimate, 0 to 1.
    """

    def __init__(self, initial: float, quantile: float) -> None:
        self.value = initial
        self.quantile = quantile
        self.count = 0

    def record(self, sample: float) -> None:
        """Update the estimate by one sample."""
        self.count += 1
        if sample > self.value:
            self.value *= 1 + RELATIVE_STEP * self.quantile
        else:
            self.value /= 1 + RELATIVE_STEP * (1 - self.quantile)
