"""Calibration of expected waits for first tokens by the observed waits."""

__all__ = ["WaitCalibration"]

# Waits are longer than a prompt's tokens alone suggest: prompts of the same rank are
# ahead of it, and engines decode between two prefills.
INITIAL_FACTOR = 1.5
MIN_FACTOR = 0.5
MAX_FACTOR = 4.0
SMOOTHING_WEIGHT = 0.05
# Below this, network latency and the engine's own start dominate.
MIN_EXPECTED_S = 0.03


class WaitCalibration:
    """Smoothed ratio of observed to expected waits, by rank."""

    def __init__(self) -> None:
        self._factors: dict[int, float] = {}

    def factor(self, rank: int) -> float:
        """Return the factor by which an expected wait is multiplied."""
        return self._factors.get(rank, INITIAL_FACTOR)

    def record(self, rank: int, expected_s: float, observed_s: float) -> None:
        """Record the first token of a request.

        Parameters
        ----------
        rank
            Rank of the request.
        expected_s
            Wait expected from the load counts alone, in seconds.
        observed_s
            Observed wait, in seconds.
        """
        if expected_s < MIN_EXPECTED_S:
            return
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, observed_s / expected_s))
        self._factors[rank] = (
            self.factor(rank) * (1 - SMOOTHING_WEIGHT) + ratio * SMOOTHING_WEIGHT
        )
