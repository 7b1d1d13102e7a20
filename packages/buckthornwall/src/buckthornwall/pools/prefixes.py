"""Which shared segments of prompts an engine is likely to hold.

An engine that holds a segment need not read it again, if it also holds every
segment before it. What is kept here is a guess from what was sent there.
"""

from collections import OrderedDict
from collections.abc import Iterable

from buckthornwall.routing import PromptShape

__all__ = ["PrefixCacheEstimate"]

# Engines keep running requests in the same memory; this share is left to
# segments that were read for earlier ones.
PREFIX_CACHE_SHARE = 0.5


class PrefixCacheEstimate:
    """The segments read by one engine, the least recently used first.

    Parameters
    ----------
    capacity_tokens
        Memory of the engine, in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.memory_tokens = capacity_tokens
        self.occupied_tokens = 0
        self._segments: OrderedDict[str, int] = OrderedDict()

    def set_memory(self, capacity_tokens: int) -> None:
        """Take the engine's memory, in tokens, from a new configuration."""
        self.memory_tokens = capacity_tokens

    @property
    def capacity_tokens(self) -> float:
        """Tokens that segments of earlier requests may take."""
        return self.memory_tokens * PREFIX_CACHE_SHARE

    def cached_tokens(self, prompt: PromptShape) -> int:
        """Return how many leading tokens of a prompt lie there."""
        tokens = 0
        for segment in prompt.segments:
            if segment.id not in self._segments:
                break
            tokens += segment.tokens
        return tokens

    def record(self, prompt: PromptShape) -> None:
        """Record that the prompt is read there now."""
        self.record_segments(
            (segment.id, segment.tokens) for segment in prompt.segments
        )

    def record_segments(self, segments: Iterable[tuple[str, int]]) -> None:
        """Record that segments are read there now, each by id and tokens."""
        for segment, tokens in segments:
            if segment in self._segments:
                self._segments.move_to_end(segment)
            else:
                self._segments[segment] = tokens
                self.occupied_tokens += tokens
        while self.occupied_tokens > self.capacity_tokens and self._segments:
            _, tokens = self._segments.popitem(last=False)
            self.occupied_tokens -= tokens
