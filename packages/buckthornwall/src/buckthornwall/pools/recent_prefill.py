"""Prompt tokens that this instance sent to one engine recently."""

from collections import deque

__all__ = ["RecentPrefill"]

# Prompts remembered for each engine. More within one event are far beyond any budget.
MAX_RECENT_PROMPTS = 64


class RecentPrefill:
    """Prompt tokens that this instance sent to one engine in the last moments."""

    def __init__(self) -> None:
        self._sent: deque[tuple[float, int]] = deque(maxlen=MAX_RECENT_PROMPTS)

    def record(self, tokens: int, now: float) -> None:
        """Record the uncached tokens of a prompt that is sent now."""
        self._sent.append((now, tokens))

    def tokens(self, window_s: float, now: float) -> int:
        """Return the tokens sent in the last `window_s` seconds.

        A clock that steps back makes a prompt count for longer, never for less.
        """
        return sum(tokens for at, tokens in self._sent if now - at < window_s)
