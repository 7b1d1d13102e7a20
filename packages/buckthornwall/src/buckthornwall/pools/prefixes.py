"""Estimate which prompt segments an engine has in its prefix cache.

An engine need not prefill a cached segment again if all segments before it are cached
too. The estimate follows from the prompts sent there, with LRU eviction.
"""

from collections import OrderedDict
from collections.abc import Iterable

from buckthornwall.routing import PromptShape

__all__ = ["PrefixCacheEstimate"]

# Running requests use the same memory; this share is left for cached segments.
PREFIX_CACHE_SHARE = 0.5


class PrefixCacheEstimate:
    """Segments that one engine probably has cached, least recently used first.

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
        """Set the engine's memory, in tokens, from a new configuration."""
        self.memory_tokens = capacity_tokens

    @property
    def capacity_tokens(self) -> float:
        """Capacity of the prefix cache, in tokens."""
        return self.memory_tokens * PREFIX_CACHE_SHARE

    def cached_tokens(self, prompt: PromptShape) -> int:
        """Return how many leading tokens of a prompt are probably cached."""
        tokens = 0
        for segment in prompt.segments:
            if segment.id not in self._segments:
                break
            tokens += segment.tokens
        return tokens

    def record(self, prompt: PromptShape) -> None:
        """Record that the engine prefills a prompt now."""
        self.record_segments(
            (segment.id, segment.tokens) for segment in prompt.segments
        )

    def record_segments(self, segments: Iterable[tuple[str, int]]) -> None:
        """Record segments prefilled now, each with its id and tokens."""
        for segment, tokens in segments:
            if segment in self._segments:
                self._segments.move_to_end(segment)
            else:
                self._segments[segment] = tokens
                self.occupied_tokens += tokens
        while self.occupied_tokens > self.capacity_tokens and self._segments:
            _, tokens = self._segments.popitem(last=False)
            self.occupied_tokens -= tokens
