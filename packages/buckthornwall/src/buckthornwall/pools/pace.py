"""How long first tokens really take, against what the counts let expect."""

__all__ = ["Pace"]

# Prompts wait longer than their tokens alone say: others of the same rank come
# before them, and engines generate between two readings.
FIRST_FACTOR = 1.5
LEAST_FACTOR = 0.5
MOST_FACTOR = 4.0
WEIGHT = 0.05
# Below this the ways and the engine's own start decide.
LEAST_EXPECTED_S = 0.03


class Pace:
    """A smoothed ratio of seen to expected waits, by rank."""

    def __init__(self) -> None:
        self._factors: dict[int, float] = {}

    def factor(self, rank: int) -> float:
        """Return what an expected wait is to be multiplied by."""
        return self._factors.get(rank, FIRST_FACTOR)

    def note(self, rank: int, expected_s: float, seen_s: float) -> None:
        """Take the first token of a request.

        Parameters
        ----------
        rank
            Its rank.
        expected_s
            The wait that its counts alone let expect, in seconds.
        seen_s
            The wait there was.
        """
        if expected_s < LEAST_EXPECTED_S:
            return
        ratio = min(MOST_FACTOR, max(LEAST_FACTOR, seen_s / expected_s))
        self._factors[rank] = self.factor(rank) * (1 - WEIGHT) + ratio * WEIGHT
