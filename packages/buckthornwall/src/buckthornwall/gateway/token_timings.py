"""How fast the tokens of one attempt come."""

from buckthornwall.utils import Clock

__all__ = ["TokenTimings"]


class TokenTimings:
    """First-token time and mean inter-token time of one attempt."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at = clock.now()
        self.first_token_s = 0.0
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.last_gap_s = 0.0

    def record_tokens(self) -> None:
        """Note that tokens came."""
        now = self.clock.now()
        if not self.first_token_at:
            self.first_token_at = now
            self.first_token_s = now - self.started_at
        else:
            self.last_gap_s = now - self.last_token_at
        self.last_token_at = now

    def should_coalesce(self, chunks: int, window_s: float) -> bool:
        """Tell whether more chunks are likely to come within a window.

        Where they come slower, a pause would gather nothing and only cost a
        timer; a batch of several shows that the last pause was worth while.
        """
        return chunks > 1 or 0 < self.last_gap_s < window_s

    def mean_gap_s(self, tokens: int) -> float:
        """Return the mean seconds between tokens, 0 if too few came."""
        if tokens < 2:
            return 0.0
        return (self.last_token_at - self.first_token_at) / (tokens - 1)
