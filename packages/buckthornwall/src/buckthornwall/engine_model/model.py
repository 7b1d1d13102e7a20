"""Step times and prefill speed of the engines of one pool, learned from their streams.

An engine generates one token of each running stream per step, and prefills prompts in
chunks in between (chunked prefill). A decode step does no prefill and is short; a
prefill step also prefills a chunk and is longer. How long they take depends on the
engine, its running requests, and the context before the chunk. Engines publish none of
this, but the times between the events of every stream show it.
"""

from .quantile import QuantileEstimate
from .steady_steps import SteadySteps

__all__ = ["EngineModel"]

# Step times per token until streams have been observed.
INITIAL_DECODE_STEP_S = 0.008
INITIAL_P90_PREFILL_STEP_S = 0.035
INITIAL_PREFILL_STEP_S = 0.028
PREFILL_STEP_QUANTILE = 0.9
# A step this many times as long as a decode step is taken as a prefill step. By counts
# of pending prefill tokens alone, most apparent prefill steps would be decode steps.
MIN_PREFILL_STEP_RATIO = 2.5
# Prefill speed until first tokens have been observed.
INITIAL_TOKENS_PER_S = 50_000.0
# For fewer tokens, network latency and the start of the request dominate.
MIN_MEASURED_TOKENS = 1_500


class EngineModel:
    """Learned speed of a pool's engines; times are in seconds.

    Decode steps and prefill speeds are those of the usual engine: what one of another
    speed takes is recorded as the usual one would have taken it. Prefill steps are
    those of all engines as they are, since a stream that must not pause is to be safe
    before it is known where it will run.

    Attributes
    ----------
    steady_steps : SteadySteps
        Usual steps by which the speeds of engines are compared.
    """

    def __init__(self) -> None:
        self.steady_steps = SteadySteps()
        self._decode_step = QuantileEstimate(INITIAL_DECODE_STEP_S, 0.5)
        self._prefill_step = QuantileEstimate(INITIAL_PREFILL_STEP_S, 0.5)
        self._p90_prefill_step = QuantileEstimate(
            INITIAL_P90_PREFILL_STEP_S, PREFILL_STEP_QUANTILE
        )
        self._tokens_per_s = QuantileEstimate(INITIAL_TOKENS_PER_S, 0.5)

    # Samples

    def record_gap(
        self,
        gap_s: float,
        tokens: int,
        is_decode_only: bool,
        is_reserved: bool = False,
        slowness: float = 1.0,
    ) -> None:
        """Record the time between two events of a stream.

        That no prefill is pending is known reliably. That some is pending is not: a
        prompt may have been prefilled long before its first token arrives here. So a
        prefill step is recognized by its length.

        Parameters
        ----------
        gap_s
            Seconds between the events.
        tokens
            Tokens of the later event.
        is_decode_only
            Whether no prefill was known to be pending when either event arrived.
        is_reserved
            Whether the engine is reserved, and so gets no long prompts. Its longer
            steps are not counted as prefill steps: a stream would otherwise look safe
            beside long prompts as soon as it ran apart from them.
        slowness
            How long work takes at the engine, relative to the usual one.
        """
        if tokens <= 0 or gap_s <= 0:
            return
        step_s = gap_s / tokens / slowness
        if is_decode_only:
            self._decode_step.record(step_s)
        if not is_reserved and step_s > MIN_PREFILL_STEP_RATIO * self.decode_step_s:
            self._prefill_step.record(step_s * slowness)
            self._p90_prefill_step.record(step_s * slowness)

    def record_first_token(self, tokens: int, elapsed_s: float) -> None:
        """Record the first token of a prompt that did not wait for another one.

        Parameters
        ----------
        tokens
            Prompt tokens that had to be prefilled.
        elapsed_s
            Seconds from sending to the first event.
        """
        if tokens >= MIN_MEASURED_TOKENS and elapsed_s > 0:
            self._tokens_per_s.record(tokens / elapsed_s)

    @property
    def gap_count(self) -> int:
        """Number of gaps recorded as decode or prefill steps."""
        return self._decode_step.count + self._prefill_step.count

    def describe(self) -> dict[str, float]:
        """Return the estimates and their sample counts as fields of a log line."""
        return {
            "quiet_step_ms": round(self.decode_step_s * 1000, 2),
            "reading_step_ms": round(self.prefill_step_s * 1000, 2),
            "long_step_ms": round(self.p90_prefill_step_s * 1000, 2),
            "tokens_per_ms": round(self.tokens_per_s / 1000, 1),
            "quiet_gaps": self._decode_step.count,
            "reading_gaps": self._prefill_step.count,
            "prompts": self._tokens_per_s.count,
        }

    # Predictions

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that an engine prefills per second."""
        return self._tokens_per_s.value

    @property
    def decode_step_s(self) -> float:
        """Median time per token without prefill."""
        return self._decode_step.value

    @property
    def prefill_step_s(self) -> float:
        """Median time per token beside prefill."""
        return max(self._prefill_step.value, self._decode_step.value)

    @property
    def p90_prefill_step_s(self) -> float:
        """90th percentile of the time per token beside prefill."""
        return max(self._p90_prefill_step.value, self.prefill_step_s)

    def prefill_s(self, tokens: float) -> float:
        """Return how long the prefill of some prompt tokens takes."""
        return tokens / self.tokens_per_s

    def pause_s(self, tokens_per_event: int, pending_prefill: float) -> float:
        """Return the longest pause of a stream beside some pending prefill tokens.

        It is bounded by an event of 90th-percentile prefill steps, and by the whole
        pending prefill together with the decode steps of one event.
        """
        step_bound_s = tokens_per_event * self.p90_prefill_step_s
        prefill_bound_s = tokens_per_event * self.decode_step_s + self.prefill_s(
            pending_prefill
        )
        return min(step_bound_s, prefill_bound_s)

    def decode_beside_prefill_s(self, tokens: int) -> float:
        """Return how long a response takes if every step is a prefill step."""
        return tokens * self.prefill_step_s
