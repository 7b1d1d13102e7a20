"""Timings of the tokens of one attempt."""

from buckthornwall.utils import Clock

__all__ = ["TokenTimings"]


class TokenTimings:
    """Time to first token and mean inter-token time of one attempt."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at = clock.now()
        self.first_token_s = 0.0
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.last_gap_s = 0.0

    def record_tokens(self) -> None:
        """Record the arrival of tokens."""
        now = self.clock.now()
        if not self.first_token_at:
            self.first_token_at = now
            self.first_token_s = now - self.started_at
        else:
            self.last_gap_s = now - self.last_token_at
        self.last_token_at = now

    def should_coalesce(self, chunks: int, window_s: float) -> bool:
        """Return whether more chunks are likely to arrive within a window.

        If tokens arrive more slowly, waiting would collect nothing and cost a
        timer. More than one chunk at once shows that the last wait paid off.
        """
        return chunks > 1 or 0 < self.last_gap_s < window_s

    def mean_gap_s(self, tokens: int) -> float:
        """Return the mean seconds between tokens; 0 for fewer than two."""
        if tokens < 2:
            return 0.0
        return (self.last_token_at - self.first_token_at) / (tokens - 1)
