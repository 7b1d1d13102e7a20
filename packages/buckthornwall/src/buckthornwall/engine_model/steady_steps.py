"""Steady prefill steps: steps that each prefill a whole chunk, the same at all engines.

How slow an engine is shows by steps that hold the same work elsewhere. What is pending
at an engine is known too late to tell what a gap is made of. But gaps that hold some
chunks of some size differ from one to the next; those alike in a row, and about as long
as any, are made of whole chunks alone. Decode steps are no such measure: they grow with
the requests that run beside them, which are known as late.
"""

from .quantile import QuantileEstimate

__all__ = ["SteadySteps"]

# Gaps in a row that are alike, and by how much one may exceed the other.
MAX_RUN_SPREAD = 1.12
# Long steps until some have been seen, and the quantile that they are.
INITIAL_LONG_STEP_S = 0.035
LONG_STEP_QUANTILE = 0.9
# From this share of a long step on, all steps of a gap prefilled whole chunks.
MIN_CHUNK_SHARE = 0.5
# A step this many times as long as a decode step is taken as a prefill step.
MIN_PREFILL_STEP_RATIO = 2.5
# Unit of the samples. Any that all instances have in common does, as engines are only
# compared with each other; none of them is learned, so that the samples of an instance
# that has just started are worth as much as those of others.
UNIT_S = 0.035


class SteadySteps:
    """Finds steady prefill steps in one pool; times are in seconds."""

    def __init__(self) -> None:
        self._long_step = QuantileEstimate(INITIAL_LONG_STEP_S, LONG_STEP_QUANTILE)

    def record(
        self,
        before_s: float | None,
        step_s: float,
        slowness: float,
        decode_step_s: float,
    ) -> float | None:
        """Record the time per token of a gap.

        Parameters
        ----------
        before_s, step_s
            That of the gap before it, if any, and its own.
        slowness
            How slow the engine is taken to be so far.
        decode_step_s
            A decode step of the usual engine.

        Returns
        -------
        float or None
            The step in units of `UNIT_S` if it is a steady prefill step.
        """
        usual_s = step_s / slowness
        if usual_s < MIN_PREFILL_STEP_RATIO * decode_step_s:
            return None
        self._long_step.record(usual_s)
        if usual_s < MIN_CHUNK_SHARE * self._long_step.value or before_s is None:
            return None
        shorter_s, longer_s = sorted((before_s, step_s))
        return shorter_s / UNIT_S if longer_s <= MAX_RUN_SPREAD * shorter_s else None
