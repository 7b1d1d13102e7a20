"""How quickly the engines of one pool read and generate, as their streams show.

An engine makes one token of each running stream in a step, and reads prompts in
pieces between them, so a step is short where nothing is read beside and long where
something is. How long depends on the engines, on what runs there and on what stands
before the pieces that are read: none of it is published, all of it shows in the
times between the events of every stream.
"""

from .quantile import QuantileEstimate

__all__ = ["EngineModel"]

# What is taken until streams say otherwise, in seconds a token: a step where nothing
# is read beside; the longest steps (nine in ten are shorter) and the usual one where
# prompts are read.
INITIAL_DECODE_STEP_S = 0.008
INITIAL_P90_PREFILL_STEP_S = 0.035
INITIAL_PREFILL_STEP_S = 0.028
HIGH_QUANTILE = 0.9
# A step this many times as long as a quiet one was stretched by reading. By counts of
# pending prefill tokens alone, most steps that seem to be beside reading are quiet
# ones.
MIN_PREFILL_STEP_RATIO = 2.5
# Prompt tokens read in a second, until first tokens say otherwise.
INITIAL_TOKENS_PER_S = 50_000.0
# Fewer tokens are read within the time that the ways and the start take.
MIN_MEASURED_TOKENS = 1_500


class EngineModel:
    """What is known of the speed of a pool's engines; times in seconds."""

    def __init__(self) -> None:
        self._decode_step = QuantileEstimate(INITIAL_DECODE_STEP_S, 0.5)
        self._prefill_step = QuantileEstimate(INITIAL_PREFILL_STEP_S, 0.5)
        self._p90_prefill_step = QuantileEstimate(
            INITIAL_P90_PREFILL_STEP_S, HIGH_QUANTILE
        )
        self._tokens_per_s = QuantileEstimate(INITIAL_TOKENS_PER_S, 0.5)

    # What streams show

    def record_gap(
        self, gap_s: float, tokens: int, is_decode_only: bool, is_reserved: bool = False
    ) -> None:
        """Take the time between two events of a stream.

        That nothing waits to be read is known well; that something does is not: it
        may have been read for long when its first token is heard of. So a step
        counts as one beside reading by its length.

        Parameters
        ----------
        gap_s
            Seconds between them.
        tokens
            Tokens that the later event holds.
        is_decode_only
            Whether nothing was known to wait there to be read when either came.
        is_reserved
            Whether the engine is kept free of long prompts: its steps say nothing of
            those beside them. Counted as such, they let a stream look safe beside
            long prompts as soon as it was kept apart from them.
        """
        if tokens <= 0 or gap_s <= 0:
            return
        step_s = gap_s / tokens
        if is_decode_only:
            self._decode_step.record(step_s)
        if not is_reserved and step_s > MIN_PREFILL_STEP_RATIO * self.decode_step_s:
            self._prefill_step.record(step_s)
            self._p90_prefill_step.record(step_s)

    def record_first_token(self, tokens: int, elapsed_s: float) -> None:
        """Take the first token of a prompt that waited for no other.

        Parameters
        ----------
        tokens
            How much of it had to be read.
        elapsed_s
            Seconds from sending to the first event.
        """
        if tokens >= MIN_MEASURED_TOKENS and elapsed_s > 0:
            self._tokens_per_s.record(tokens / elapsed_s)

    @property
    def gap_count(self) -> int:
        """How many gaps have been learned from."""
        return self._decode_step.count + self._prefill_step.count

    def describe(self) -> dict[str, float]:
        """Return what is believed, and from how much, as pairs of a log line."""
        return {
            "quiet_step_ms": round(self.decode_step_s * 1000, 2),
            "reading_step_ms": round(self.prefill_step_s * 1000, 2),
            "long_step_ms": round(self.p90_prefill_step_s * 1000, 2),
            "tokens_per_ms": round(self.tokens_per_s / 1000, 1),
            "quiet_gaps": self._decode_step.count,
            "reading_gaps": self._prefill_step.count,
            "prompts": self._tokens_per_s.count,
        }

    # What follows

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that an engine reads in a second."""
        return self._tokens_per_s.value

    @property
    def decode_step_s(self) -> float:
        """The usual time of a token where nothing is read beside."""
        return self._decode_step.value

    @property
    def prefill_step_s(self) -> float:
        """The usual time of a token where prompts are read beside."""
        return max(self._prefill_step.value, self._decode_step.value)

    @property
    def p90_prefill_step_s(self) -> float:
        """The time of a token beside reading that nine in ten stay under."""
        return max(self._p90_prefill_step.value, self.prefill_step_s)

    def prefill_s(self, tokens: float) -> float:
        """Return how long it takes to read so many prompt tokens."""
        return tokens / self.tokens_per_s

    def pause_s(self, tokens_per_event: int, pending_prefill: float) -> float:
        """Return the longest pause of a stream beside so many pending prefill tokens.

        Not longer than an event whose every step is a long one, nor than all of
        the reading together with the steps of an event.
        """
        slow_steps_s = tokens_per_event * self.p90_prefill_step_s
        prefill_all_s = tokens_per_event * self.decode_step_s + self.prefill_s(
            pending_prefill
        )
        return min(slow_steps_s, prefill_all_s)

    def slow_decode_s(self, tokens: int) -> float:
        """Return how long an answer takes where prompts are read all the while."""
        return tokens * self.prefill_step_s
