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
FIRST_QUIET_STEP_S = 0.008
FIRST_LONG_STEP_S = 0.035
FIRST_READING_STEP_S = 0.028
LONG_SHARE = 0.9
# A step this many times as long as a quiet one was stretched by reading. By counts of
# pending prefill tokens alone, most steps that seem to be beside reading are quiet
# ones.
STRETCH = 2.5
# Prompt tokens read in a second, until first tokens say otherwise.
FIRST_TOKENS_PER_S = 50_000.0
# Fewer tokens are read within the time that the ways and the start take.
LEAST_READ_TOKENS = 1_500


class EngineModel:
    """What is known of the speed of a pool's engines; times in seconds."""

    def __init__(self) -> None:
        self._quiet = QuantileEstimate(FIRST_QUIET_STEP_S, 0.5)
        self._reading = QuantileEstimate(FIRST_READING_STEP_S, 0.5)
        self._long = QuantileEstimate(FIRST_LONG_STEP_S, LONG_SHARE)
        self._rate = QuantileEstimate(FIRST_TOKENS_PER_S, 0.5)

    # What streams show

    def note_gap(
        self, gap_s: float, tokens: int, was_idle: bool, is_reserved: bool = False
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
        was_idle
            Whether nothing was known to wait there to be read when either came.
        is_reserved
            Whether the engine is kept free of long prompts: its steps say nothing of
            those beside them. Counted as such, they let a stream look safe beside
            long prompts as soon as it was kept apart from them.
        """
        if tokens <= 0 or gap_s <= 0:
            return
        step_s = gap_s / tokens
        if was_idle:
            self._quiet.note(step_s)
        if not is_reserved and step_s > STRETCH * self.quiet_step_s:
            self._reading.note(step_s)
            self._long.note(step_s)

    def note_first(self, tokens: int, seen_s: float) -> None:
        """Take the first token of a prompt that waited for no other.

        Parameters
        ----------
        tokens
            How much of it had to be read.
        seen_s
            Seconds from sending to the first event.
        """
        if tokens >= LEAST_READ_TOKENS and seen_s > 0:
            self._rate.note(tokens / seen_s)

    @property
    def gaps(self) -> int:
        """How many gaps have been learned from."""
        return self._quiet.count + self._reading.count

    def describe(self) -> dict[str, float]:
        """Return what is believed, and from how much, as pairs of a log line."""
        return {
            "quiet_step_ms": round(self.quiet_step_s * 1000, 2),
            "reading_step_ms": round(self.reading_step_s * 1000, 2),
            "long_step_ms": round(self.long_step_s * 1000, 2),
            "tokens_per_ms": round(self.tokens_per_s / 1000, 1),
            "quiet_gaps": self._quiet.count,
            "reading_gaps": self._reading.count,
            "prompts": self._rate.count,
        }

    # What follows

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that an engine reads in a second."""
        return self._rate.value

    @property
    def quiet_step_s(self) -> float:
        """The usual time of a token where nothing is read beside."""
        return self._quiet.value

    @property
    def reading_step_s(self) -> float:
        """The usual time of a token where prompts are read beside."""
        return max(self._reading.value, self._quiet.value)

    @property
    def long_step_s(self) -> float:
        """The time of a token beside reading that nine in ten stay under."""
        return max(self._long.value, self.reading_step_s)

    def read_s(self, tokens: float) -> float:
        """Return how long it takes to read so many prompt tokens."""
        return tokens / self.tokens_per_s

    def pause_s(self, tokens_per_event: int, pending_prefill: float) -> float:
        """Return the longest pause of a stream beside so many pending prefill tokens.

        Not longer than an event whose every step is a long one, nor than all of
        the reading together with the steps of an event.
        """
        filled_s = tokens_per_event * self.long_step_s
        whole_s = tokens_per_event * self.quiet_step_s + self.read_s(pending_prefill)
        return min(filled_s, whole_s)

    def longest_s(self, tokens: int) -> float:
        """Return how long an answer takes where prompts are read all the while."""
        return tokens * self.reading_step_s
