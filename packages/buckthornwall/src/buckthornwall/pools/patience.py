"""Who has been refused before, by how long callers are still willing to wait.

A caller that returns brings the rest of its patience. Nothing else tells: each attempt
has an id of its own, and reaches another instance.
"""

from buckthornwall.engine_model import QuantileEstimate

__all__ = ["Patience"]

# Who brings less than this part of the usual patience has asked before: callers are
# told to return after a quarter of it and more in overload, and what callers of one
# route bring at first was seen to differ by an eighth.
RETURNED_SHARE = 0.8


class Patience:
    """How long callers of one route are usually willing to wait, in seconds."""

    def __init__(self) -> None:
        self._usual: QuantileEstimate | None = None

    def is_return(self, patience_s: float | None) -> bool:
        """Take what a caller brings; tell whether it seems to have asked before.

        By the middle of what is seen, not by the longest: one caller that waits for a
        minute must not make all others look refused.
        """
        if patience_s is None:
            return False
        if self._usual is None:
            self._usual = QuantileEstimate(patience_s, 0.5)
        self._usual.note(patience_s)
        return patience_s < RETURNED_SHARE * self._usual.value
