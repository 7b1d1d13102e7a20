"""Which shared parts of prompts an engine is likely to hold.

An engine that holds a part need not read it again, if it also holds every
part before it. What is kept here is a guess from what was sent there.
"""

from collections import OrderedDict
from collections.abc import Iterable

from buckthornwall.routing import PromptShape

__all__ = ["PrefixMemory"]

# Engines keep running requests in the same memory; this share is left to
# parts that were read for earlier ones.
MEMORY_SHARE = 0.5


class PrefixMemory:
    """The parts read by one engine, the least recently used first.

    Parameters
    ----------
    capacity_tokens
        Memory of the engine, in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.memory_tokens = capacity_tokens
        self.held_tokens = 0
        self._parts: OrderedDict[str, int] = OrderedDict()

    def set_memory(self, capacity_tokens: int) -> None:
        """Take the engine's memory, in tokens, from a new configuration."""
        self.memory_tokens = capacity_tokens

    @property
    def capacity_tokens(self) -> float:
        """Tokens that parts of earlier requests may take."""
        return self.memory_tokens * MEMORY_SHARE

    def held(self, prompt: PromptShape) -> int:
        """Return how many leading tokens of a prompt lie there."""
        tokens = 0
        for part in prompt.parts:
            if part.id not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def note(self, prompt: PromptShape) -> None:
        """Record that the prompt is read there now."""
        self.receive((part.id, part.tokens) for part in prompt.parts)

    def receive(self, parts: Iterable[tuple[str, int]]) -> None:
        """Record that parts are read there now, each by id and tokens."""
        for part, tokens in parts:
            if part in self._parts:
                self._parts.move_to_end(part)
            else:
                self._parts[part] = tokens
                self.held_tokens += tokens
        while self.held_tokens > self.capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self.held_tokens -= tokens
