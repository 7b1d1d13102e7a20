"""How long first tokens really take, against what the counts let expect."""

__all__ = ["WaitCalibration"]

# Prompts wait longer than their tokens alone say: others of the same rank come
# before them, and engines generate between two readings.
INITIAL_FACTOR = 1.5
MIN_FACTOR = 0.5
MAX_FACTOR = 4.0
SMOOTHING_WEIGHT = 0.05
# Below this the ways and the engine's own start decide.
MIN_EXPECTED_S = 0.03


class WaitCalibration:
    """A smoothed ratio of seen to expected waits, by rank."""

    def __init__(self) -> None:
        self._factors: dict[int, float] = {}

    def factor(self, rank: int) -> float:
        """Return what an expected wait is to be multiplied by."""
        return self._factors.get(rank, INITIAL_FACTOR)

    def record(self, rank: int, expected_s: float, observed_s: float) -> None:
        """Take the first token of a request.

        Parameters
        ----------
        rank
            Its rank.
        expected_s
            The wait that its counts alone let expect, in seconds.
        observed_s
            The wait there was.
        """
        if expected_s < MIN_EXPECTED_S:
            return
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, observed_s / expected_s))
        self._factors[rank] = (
            self.factor(rank) * (1 - SMOOTHING_WEIGHT) + ratio * SMOOTHING_WEIGHT
        )
